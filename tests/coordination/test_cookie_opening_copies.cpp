#include "support/cookie_fixture.hpp"

using namespace tarragonsill;
using namespace tarragonsill::Test;

/// Copies of opening packets: the upstream that was offered the first packet
/// may no longer be the right one.
TEST_GROUP_BASE(CookieOpeningCopies, CookieFixture)
{
  std::vector<SampleFlow> mHeld;
  std::vector<std::uint32_t> mCookies;

  void ConfigureShares(std::vector<RouteShare> aShares)
  {
    auto next = SampleConfiguration(2);
    next.mRoutes.front().mShares = std::move(aShares);
    mStore.Configure(mNow, next);
    RefreshView();
  }

  /// Offers a flow to an upstream that answers others, but not this one.
  SteeringVerdict Offer(SampleFlow const& aFlow)
  {
    for (int flow = 0; flow < 20; ++flow) {
      mHeld.emplace_back(CallerAt(mNextPort++));
      mCookies.push_back(CompleteRequest(mHeld.back()).mCookie);
    }
    return mSteering.Steer(mNow, aFlow.Opening());
  }

  SteeringVerdict SendCopy(SampleFlow const& aFlow)
  {
    mNow += milliseconds{ 200 };
    for (std::size_t flow = 0; flow < mHeld.size(); ++flow) {
      Answer(mHeld[flow], mCookies[flow]);
    }
    return mSteering.Steer(mNow, aFlow.Opening(1));
  }
};

/// Guards against review/9: a copy went to the service of the route's earlier
/// version.
TEST(CookieOpeningCopies, a_copy_goes_to_the_service_that_the_route_has_now)
{
  SampleFlow flow;
  (void)Offer(flow);
  ConfigureShares({ { "label", 1 } });
  auto const copy = SendCopy(flow);
  CHECK(copy.mAction == SteeringAction::Forward);
  STRCMP_EQUAL("l1", UpstreamOf(copy).c_str());
}

/// Guards against review/9 with a service that keeps a share without weight.
TEST(CookieOpeningCopies, a_copy_does_not_go_to_a_service_that_lost_its_weight)
{
  SampleFlow flow;
  (void)Offer(flow);
  ConfigureShares({ { "web", 0 }, { "label", 1 } });
  STRCMP_EQUAL("l1", UpstreamOf(SendCopy(flow)).c_str());
}

TEST(CookieOpeningCopies, a_copy_keeps_its_upstream_while_the_route_has_it)
{
  SampleFlow flow;
  auto const first = Offer(flow);
  ConfigureShares({ { "web", 1 }, { "label", 1000 } });
  auto const copy = SendCopy(flow);
  LONGS_EQUAL(first.mSlot, copy.mSlot);
  CHECK(copy.mCause == SteeringCause::OpeningCopy);
}

/// Guards against a flood of an upstream that restarted under its name: copies
/// of packets for its former process passed its limit while it is cold.
TEST(CookieOpeningCopies, a_copy_for_an_upstream_that_restarted_is_a_new_flow)
{
  constexpr int kFlows = 40;
  std::vector<SampleFlow> flows;
  for (int flow = 0; flow < kFlows; ++flow) {
    flows.emplace_back(CallerAt(mNextPort++));
    (void)mSteering.Steer(mNow, flows.back().Opening());
  }
  mNow += milliseconds{ 150 };
  mStore.TargetDirectory().SetAdmittingVms({ 1 }, 1);
  auto restarted = SampleUpstream("a1", "a");
  restarted.mStartMark = 2;
  restarted.mRemainingColdTime = seconds{ 2 };
  mStore.Register(mNow, restarted);
  RefreshView();
  int atRestarted = 0;
  for (auto const& flow : flows) {
    auto const copy = mSteering.Steer(mNow, flow.Opening(1));
    atRestarted += UpstreamOf(copy) == "a1" ? 1 : 0;
  }
  auto const slot = SlotOf(mSteering.View(), "a1");
  CHECK(atRestarted <= mSteering.View().mUpstreams[slot].mColdLimit);
}
