#include "support/cookie_fixture.hpp"

#include <set>

using namespace tarragonsill;
using namespace tarragonsill::Test;

TEST_GROUP_BASE(CookieSteering, CookieFixture){};

TEST(CookieSteering, a_new_vm_forwards_an_open_flow_to_its_upstream)
{
  SampleFlow flow;
  auto const opened = CompleteRequest(flow);
  CookieSteering newVm(2);
  newVm.SetView(mStore.View(mNow));
  auto const verdict = newVm.Steer(mNow, flow.Data(opened.mCookie));
  CHECK(verdict.mAction == SteeringAction::Forward);
  LONGS_EQUAL(opened.mSlot, verdict.mSlot);
}

TEST(CookieSteering, all_vms_compute_the_same_cookie_for_an_upstream)
{
  SampleStore other;
  other.ListAll(mNow);
  other.Configure(mNow, SampleConfiguration());
  // The upstreams are registered in another order.
  for (char const* name : { "a3", "a1", "a2" }) {
    other.Register(mNow, SampleUpstream(name, "a"));
  }
  auto const view = other.View(mNow);
  auto const& ownView = mSteering.View();
  for (char const* name : { "a1", "a2", "a3" }) {
    LONGS_EQUAL(ownView.mUpstreams[SlotOf(ownView, name)].mCookie,
                view->mUpstreams[SlotOf(*view, name)].mCookie);
  }
}

TEST(CookieSteering, an_open_flow_keeps_a_draining_or_evacuated_upstream)
{
  auto [flow, opened] = CompleteRequestAt("a1");
  auto draining = SampleUpstream("a1", "a");
  draining.mDraining = true;
  mStore.Register(mNow, draining);
  mStore.Evacuate(mNow, "a", true);
  RefreshView();
  auto const verdict = mSteering.Steer(mNow, flow.Data(opened.mCookie));
  CHECK(verdict.mAction == SteeringAction::Forward);
  STRCMP_EQUAL("a1", UpstreamOf(verdict).c_str());
}

TEST(CookieSteering,
     an_open_flow_keeps_an_upstream_whose_registration_is_removed)
{
  auto [flow, opened] = CompleteRequestAt("a1");
  mStore.Remove(mNow, "a1");
  mNow += seconds{ 10 };
  RefreshView();
  auto const verdict = mSteering.Steer(mNow, flow.Data(opened.mCookie));
  CHECK(verdict.mAction == SteeringAction::Forward);
  STRCMP_EQUAL("a1", UpstreamOf(verdict).c_str());
}

TEST(CookieSteering,
     an_open_flow_keeps_its_upstream_when_its_route_changes_service)
{
  SampleFlow flow;
  auto const opened = CompleteRequest(flow);
  auto next = SampleConfiguration(2);
  next.mRoutes.front().mShares = { { "label", 1 } };
  mStore.Configure(mNow, next);
  RefreshView();
  LONGS_EQUAL(opened.mSlot,
              mSteering.Steer(mNow, flow.Data(opened.mCookie)).mSlot);
  SampleFlow later(CallerAt(41000));
  STRCMP_EQUAL("l1",
               UpstreamOf(mSteering.Steer(mNow, later.Opening())).c_str());
}

TEST(CookieSteering, flows_of_a_removed_route_are_reset)
{
  SampleFlow flow;
  auto const opened = CompleteRequest(flow);
  auto next = SampleConfiguration(2);
  next.mRoutes.erase(next.mRoutes.begin());
  mStore.Configure(mNow, next);
  RefreshView();
  auto const verdict = mSteering.Steer(mNow, flow.Data(opened.mCookie));
  CHECK(verdict.mAction == SteeringAction::Reset);
  CHECK(verdict.mCause == SteeringCause::RemovedRoute);
}

TEST(CookieSteering, an_unknown_route_is_reset_only_at_a_retransmission)
{
  SampleFlow flow(kCaller, { { 0xC6120063 }, 443 });
  CHECK(mSteering.Steer(mNow, flow.Opening(0)).mAction == SteeringAction::Drop);
  CHECK(mSteering.Steer(mNow, flow.Opening(1)).mAction ==
        SteeringAction::Reset);
}

TEST(CookieSteering, a_reused_address_does_not_get_flows_of_the_former_upstream)
{
  auto [flow, opened] = CompleteRequestAt("a1");
  mStore.Remove(mNow, "a1");
  auto successor = SampleUpstream("l9", "a", "label");
  successor.mAddress = SampleUpstream("a1", "a").mAddress;
  mStore.Register(mNow, successor);
  RefreshView();
  auto const verdict = mSteering.Steer(mNow, flow.Data(opened.mCookie));
  // The identity sent with the packet lets the successor reject it.
  auto const& registration =
    mSteering.View().mUpstreams[verdict.mSlot].mRegistration;
  CHECK(registration.mIdentity == SampleUpstream("a1", "a").mIdentity);
}

TEST(CookieSteering,
     the_older_of_two_upstreams_with_the_same_cookie_keeps_its_flows)
{
  // Find two names with the same 32-bit cookie.
  std::map<std::uint32_t, std::string> names;
  std::pair<std::string, std::string> collidingNames;
  for (std::uint32_t index = 0; collidingNames.first.empty(); ++index) {
    auto const name = "twin-" + std::to_string(index);
    auto const [entry, isNew] = names.try_emplace(CookieOf(name), name);
    if (!isNew) {
      collidingNames = { entry->second, name };
    }
  }
  for (bool const reversed : { false, true }) {
    SampleStore store;
    store.ListAll(mNow);
    store.Configure(mNow, SampleConfiguration());
    auto older = SampleUpstream(collidingNames.first, "a");
    auto newer = SampleUpstream(collidingNames.second, "a");
    newer.mStartMark = 2;
    store.Register(mNow, reversed ? newer : older);
    store.Register(mNow, reversed ? older : newer);
    auto const view = store.View(mNow);
    LONGS_EQUAL(SlotOf(*view, collidingNames.first),
                view->mSlotByCookie.at(CookieOf(collidingNames.first)));
    CHECK(
      view->mUpstreams[SlotOf(*view, collidingNames.second)].mAvailability ==
      UpstreamAvailability::Gone);
  }
}

TEST(CookieSteering, a_packet_with_an_unknown_cookie_is_dropped)
{
  SampleFlow flow;
  auto const verdict = mSteering.Steer(mNow, flow.Data(12345));
  CHECK(verdict.mAction == SteeringAction::Drop);
  CHECK(verdict.mCause == SteeringCause::UnknownCookie);
}

TEST(CookieSteering, an_answer_to_an_opening_packet_is_dropped)
{
  SampleFlow flow;
  auto packet = flow.Opening();
  packet.mAcknowledges = true;
  CHECK(mSteering.Steer(mNow, packet).mCause == SteeringCause::NotFromCaller);
}

TEST(CookieSteering, packets_are_dropped_without_a_configuration)
{
  CookieSteering empty(3);
  SampleFlow flow;
  auto const verdict = empty.Steer(mNow, flow.Opening());
  CHECK(verdict.mAction == SteeringAction::Drop);
  CHECK(verdict.mCause == SteeringCause::NoConfiguration);
}

TEST(CookieSteering, a_retransmitted_opening_packet_goes_to_the_same_upstream)
{
  SampleFlow flow;
  auto const first = mSteering.Steer(mNow, flow.Opening());
  // The handshake is not overdue yet.
  mNow += milliseconds{ 40 };
  auto const retransmission = mSteering.Steer(mNow, flow.Opening(1));
  LONGS_EQUAL(first.mSlot, retransmission.mSlot);
  CHECK(retransmission.mCause == SteeringCause::OpeningCopy);
}

TEST(CookieSteering, loads_return_to_zero_when_flows_close_or_expire)
{
  CheckProperty("loads are balanced", [&] {
    CookieSteering steering(*rc::gen::arbitrary<std::uint64_t>());
    steering.SetView(mStore.View(kStart));
    auto now = kStart;
    auto const steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 12), rc::gen::inRange(0, 5)));
    std::map<int, std::pair<SampleFlow, std::uint32_t>> flows;
    for (auto const& [port, action] : steps) {
      now += milliseconds{ 30 };
      auto const caller = CallerAt(static_cast<std::uint16_t>(1024 + port));
      auto& [flow, cookie] =
        flows.try_emplace(port, SampleFlow(caller), 0U).first->second;
      if (action == 0 || cookie == 0) {
        cookie = steering.Steer(now, flow.Opening()).mCookie;
        continue;
      }
      auto packet =
        action <= 2 ? flow.Data(cookie, action == 2) : flow.Acknowledge(cookie);
      packet.mCloses = action == 4;
      (void)steering.Steer(now, packet);
    }
    steering.Sweep(now + seconds{ 120 });
    RC_ASSERT(steering.TrackedFlows() == 0U);
    for (auto const& load : steering.Loads()) {
      RC_ASSERT(load.mFlows == 0U);
      RC_ASSERT(load.mInProgress == 0U);
    }
  });
}

/// Failure pattern *restart crowd*: after all VMs were killed, the callers of a
/// whole zone reach the first VM that is back, before any answer shows the load
/// of its upstreams.
TEST(CookieSteering,
     a_burst_of_flows_before_any_answer_is_spread_over_all_zones)
{
  constexpr int kCallers = 40;
  std::map<std::string, int> flowCounts;
  for (std::uint16_t port = 40000; port < 40000 + kCallers; ++port) {
    SampleFlow flow(CallerAt(port));
    ++flowCounts[UpstreamOf(mSteering.Steer(mNow, flow.Opening()))];
  }
  // Four upstreams have four slots each; the three in the own zone are
  // preferred while they have a free slot.
  for (auto const& [name, flows] : flowCounts) {
    CHECK(flows >= 8);
    CHECK(flows <= 12);
  }
  LONGS_EQUAL(4, flowCounts.size());
}

TEST(CookieSteering, new_flows_stay_in_the_zone_while_it_has_free_slots)
{
  std::vector<SampleFlow> flows;
  std::map<std::string, int> flowCounts;
  for (std::uint16_t port = 40000; port < 40040; ++port) {
    flows.emplace_back(CallerAt(port));
    // Each flow is answered at once and stays open.
    ++flowCounts[UpstreamOf(CompleteRequest(flows.back()))];
  }
  LONGS_EQUAL(0, flowCounts["b1"]);
}
