#include "support/cookie_fixture.hpp"

using namespace tarragonsill;
using namespace tarragonsill::Test;

/// A route that a configuration removes, and a later one puts back.
TEST_GROUP_BASE(CookieRemovedRoute, CookieFixture){};

/// Guards against a reset of a flow that another VM opened after its route was
/// put back.
TEST(CookieRemovedRoute, an_unknown_flow_of_a_removed_route_is_not_reset)
{
  RemoveRoute();
  mStore.Configure(mNow, SampleConfiguration(3));
  CookieSteering newerVm(2);
  newerVm.SetView(mStore.View(mNow));
  SampleFlow flow;
  auto const opened = newerVm.Steer(mNow, flow.Opening());
  auto const verdict = mSteering.Steer(mNow, flow.Data(opened.mCookie));
  CHECK(verdict.mAction == SteeringAction::Drop);
}

/// Guards against a reset of a new flow from a port whose former flow passed
/// through this VM.
TEST(CookieRemovedRoute, a_new_flow_from_a_reused_port_is_not_reset)
{
  SampleFlow former;
  auto const opened = CompleteRequest(former);
  RemoveRoute();
  auto packet = SampleFlow().Data(opened.mCookie);
  packet.mSequence += 3000000000U;
  packet.mAcknowledged += 1000000;
  CHECK(mSteering.Steer(mNow, packet).mAction == SteeringAction::Drop);
}

TEST(CookieRemovedRoute, a_flow_that_this_vm_carried_is_reset_at_once)
{
  SampleFlow open;
  auto const opened = CompleteRequest(open);
  SampleFlow opening(CallerAt(41000));
  auto const offered = mSteering.Steer(mNow, opening.Opening());
  RemoveRoute();
  CHECK(mSteering.Steer(mNow, open.Data(opened.mCookie)).mAction ==
        SteeringAction::Reset);
  CHECK(mSteering.Steer(mNow, opening.FirstData(offered.mCookie)).mAction ==
        SteeringAction::Reset);
}

TEST(CookieRemovedRoute, an_opening_packet_is_refused)
{
  RemoveRoute();
  auto const verdict = mSteering.Steer(mNow, SampleFlow().Opening());
  CHECK(verdict.mAction == SteeringAction::Reset);
  CHECK(verdict.mCause == SteeringCause::RemovedRoute);
}

/// Guards against a reset, by the view from before a local pause, of a flow
/// that was opened through another VM.
TEST(CookieRemovedRoute,
     a_queued_opening_packet_of_a_removed_route_is_not_reset)
{
  RemoveRoute();
  mSteering.HandleLocalPause(mNow);
  auto const late = mSteering.Steer(mNow, SampleFlow().Opening());
  CHECK(late.mAction == SteeringAction::Drop);
}

/// Guards against silence about a removed route long after a local pause.
TEST(CookieRemovedRoute, an_opening_packet_is_refused_by_a_view_after_a_pause)
{
  RemoveRoute();
  mSteering.HandleLocalPause(mNow);
  mNow += milliseconds{ 100 };
  CHECK(mSteering.Steer(mNow, SampleFlow().Opening()).mAction ==
        SteeringAction::Drop);
  mSteering.SetCurrentAsOf(mNow);
  CHECK(mSteering.Steer(mNow, SampleFlow().Opening()).mAction ==
        SteeringAction::Reset);
}

/// Guards against a reset of a flow of a route that was added during a local
/// pause, when a copy of the opening packet arrives after it.
TEST(CookieRemovedRoute, a_copy_for_an_unknown_route_is_not_reset_after_a_pause)
{
  SampleFlow flow(kCaller, { { 0xC6120063 }, 443 });
  mSteering.HandleLocalPause(mNow);
  mNow += milliseconds{ 100 };
  CHECK(mSteering.Steer(mNow, flow.Opening(1)).mAction == SteeringAction::Drop);
  mSteering.SetCurrentAsOf(mNow);
  CHECK(mSteering.Steer(mNow, flow.Opening(1)).mAction ==
        SteeringAction::Reset);
}
