#include "tarragonsill_test.hpp"

#include "support/routing_fixture.hpp"

#include <set>

using namespace tarragonsill;
using namespace tarragonsill::Test;

namespace {

constexpr TimePoint kStart{ seconds{ 100 } };

Endpoint
CallerAt(std::uint16_t aPort)
{
  return { kCaller.mAddress, aPort };
}

} // namespace

TEST_GROUP(CookieSteering)
{
  SampleStore mStore;
  CookieSteering mSteering{ 1 };
  TimePoint mNow = kStart;

  void setup() override
  {
    mStore.ListAll(mNow);
    mStore.Configure(mNow, SampleConfiguration());
    for (char const* name : { "a1", "a2", "a3" }) {
      mStore.Register(mNow, SampleUpstream(name, "a"));
    }
    mStore.Register(mNow, SampleUpstream("b1", "b"));
    mStore.Register(mNow, SampleUpstream("l1", "a", "label"));
    Refresh();
  }

  void Refresh()
  {
    mSteering.Use(mStore.View(mNow));
  }

  std::string NameAt(SteeringVerdict const& aVerdict) const
  {
    return mSteering.View().mUpstreams[aVerdict.mSlot].mRecord.mName;
  }

  /// Opens a flow, sends a request and takes the answer.
  SteeringVerdict Serve(SampleFlow & aFlow)
  {
    auto const opened = mSteering.Steer(mNow, aFlow.Opening());
    mNow += milliseconds{ 8 };
    (void)mSteering.Steer(mNow, aFlow.FirstData(opened.mCookie));
    mNow += milliseconds{ 20 };
    (void)mSteering.Steer(mNow, aFlow.Acknowledge(opened.mCookie));
    return opened;
  }

  /// Opens flows until one is at the upstream.
  std::pair<SampleFlow, SteeringVerdict> ServeAt(std::string const& aName)
  {
    for (std::uint16_t port = 50000; port < 50100; ++port) {
      SampleFlow flow(CallerAt(port));
      auto const verdict = Serve(flow);
      if (NameAt(verdict) == aName) {
        return { flow, verdict };
      }
    }
    FAIL("no flow reached the upstream");
    return { SampleFlow(), {} };
  }
};

TEST(CookieSteering, an_open_flow_finds_its_upstream_at_a_vm_that_just_started)
{
  SampleFlow flow;
  auto const opened = Serve(flow);
  CookieSteering fresh(2);
  fresh.Use(mStore.View(mNow));
  auto const verdict = fresh.Steer(mNow, flow.Data(opened.mCookie));
  CHECK(verdict.mAction == SteeringAction::Forward);
  LONGS_EQUAL(opened.mSlot, verdict.mSlot);
}

TEST(CookieSteering, every_vm_computes_the_same_cookie_for_an_upstream)
{
  SampleStore other;
  other.ListAll(mNow);
  other.Configure(mNow, SampleConfiguration());
  // The upstreams become known in another order.
  for (char const* name : { "a3", "a1", "a2" }) {
    other.Register(mNow, SampleUpstream(name, "a"));
  }
  auto const view = other.View(mNow);
  auto const& mine = mSteering.View();
  for (char const* name : { "a1", "a2", "a3" }) {
    LONGS_EQUAL(mine.mUpstreams[SlotOf(mine, name)].mCookie,
                view->mUpstreams[SlotOf(*view, name)].mCookie);
  }
}

TEST(CookieSteering,
     an_open_flow_stays_when_its_upstream_drains_or_is_evacuated)
{
  auto [flow, opened] = ServeAt("a1");
  auto draining = SampleUpstream("a1", "a");
  draining.mDraining = true;
  mStore.Register(mNow, draining);
  mStore.Evacuate(mNow, "a", true);
  Refresh();
  auto const verdict = mSteering.Steer(mNow, flow.Data(opened.mCookie));
  CHECK(verdict.mAction == SteeringAction::Forward);
  STRCMP_EQUAL("a1", NameAt(verdict).c_str());
}

TEST(CookieSteering, an_open_flow_stays_when_its_registration_is_removed)
{
  auto [flow, opened] = ServeAt("a1");
  mStore.Remove(mNow, "a1");
  mNow += seconds{ 10 };
  Refresh();
  auto const verdict = mSteering.Steer(mNow, flow.Data(opened.mCookie));
  CHECK(verdict.mAction == SteeringAction::Forward);
  STRCMP_EQUAL("a1", NameAt(verdict).c_str());
}

TEST(CookieSteering, an_open_flow_stays_when_its_route_gets_another_service)
{
  SampleFlow flow;
  auto const opened = Serve(flow);
  auto next = SampleConfiguration(2);
  next.mRoutes.front().mShares = { { "label", 1 } };
  mStore.Configure(mNow, next);
  Refresh();
  LONGS_EQUAL(opened.mSlot,
              mSteering.Steer(mNow, flow.Data(opened.mCookie)).mSlot);
  SampleFlow later(CallerAt(41000));
  STRCMP_EQUAL("l1", NameAt(mSteering.Steer(mNow, later.Opening())).c_str());
}

TEST(CookieSteering, flows_of_a_removed_route_are_reset)
{
  SampleFlow flow;
  auto const opened = Serve(flow);
  auto next = SampleConfiguration(2);
  next.mRoutes.erase(next.mRoutes.begin());
  mStore.Configure(mNow, next);
  Refresh();
  auto const verdict = mSteering.Steer(mNow, flow.Data(opened.mCookie));
  CHECK(verdict.mAction == SteeringAction::Reset);
  CHECK(verdict.mCause == SteeringCause::RemovedRoute);
}

TEST(CookieSteering, a_route_that_may_be_new_is_refused_at_the_second_copy_only)
{
  SampleFlow flow(kCaller, { { 0xC6120063 }, 443 });
  CHECK(mSteering.Steer(mNow, flow.Opening(0)).mAction == SteeringAction::Drop);
  CHECK(mSteering.Steer(mNow, flow.Opening(1)).mAction ==
        SteeringAction::Reset);
}

TEST(CookieSteering, an_address_used_again_does_not_get_flows_of_its_past)
{
  auto [flow, opened] = ServeAt("a1");
  mStore.Remove(mNow, "a1");
  auto successor = SampleUpstream("l9", "a", "label");
  successor.mAddress = SampleUpstream("a1", "a").mAddress;
  mStore.Register(mNow, successor);
  Refresh();
  auto const verdict = mSteering.Steer(mNow, flow.Data(opened.mCookie));
  // The identity before the packet keeps the successor from taking it.
  auto const& record = mSteering.View().mUpstreams[verdict.mSlot].mRecord;
  CHECK(record.mIdentity == SampleUpstream("a1", "a").mIdentity);
}

TEST(CookieSteering, of_two_upstreams_with_one_cookie_the_older_keeps_its_flows)
{
  // Found by search: both names have the same 32-bit cookie.
  std::map<std::uint32_t, std::string> names;
  std::pair<std::string, std::string> twins;
  for (std::uint32_t index = 0; twins.first.empty(); ++index) {
    auto const name = "twin-" + std::to_string(index);
    auto const [entry, isNew] = names.try_emplace(CookieOf(name), name);
    if (!isNew) {
      twins = { entry->second, name };
    }
  }
  for (bool const reversed : { false, true }) {
    SampleStore store;
    store.ListAll(mNow);
    store.Configure(mNow, SampleConfiguration());
    auto older = SampleUpstream(twins.first, "a");
    auto newer = SampleUpstream(twins.second, "a");
    newer.mStartMark = 2;
    store.Register(mNow, reversed ? newer : older);
    store.Register(mNow, reversed ? older : newer);
    auto const view = store.View(mNow);
    LONGS_EQUAL(SlotOf(*view, twins.first),
                view->mSlotByCookie.at(CookieOf(twins.first)));
    CHECK(view->mUpstreams[SlotOf(*view, twins.second)].mUse ==
          UpstreamUse::Gone);
  }
}

TEST(CookieSteering, a_packet_with_an_unknown_cookie_is_dropped_not_guessed)
{
  SampleFlow flow;
  auto const verdict = mSteering.Steer(mNow, flow.Data(12345));
  CHECK(verdict.mAction == SteeringAction::Drop);
  CHECK(verdict.mCause == SteeringCause::UnknownCookie);
}

TEST(CookieSteering, an_answer_to_an_opening_packet_never_comes_from_a_caller)
{
  SampleFlow flow;
  auto packet = flow.Opening();
  packet.mAcknowledges = true;
  CHECK(mSteering.Steer(mNow, packet).mCause == SteeringCause::NotFromCaller);
}

TEST(CookieSteering, without_a_configuration_nothing_is_answered)
{
  CookieSteering empty(3);
  SampleFlow flow;
  auto const verdict = empty.Steer(mNow, flow.Opening());
  CHECK(verdict.mAction == SteeringAction::Drop);
  CHECK(verdict.mCause == SteeringCause::NoConfiguration);
}

TEST(CookieSteering, a_copy_goes_where_the_opening_packet_went)
{
  SampleFlow flow;
  auto const first = mSteering.Steer(mNow, flow.Opening());
  // Another flow's answer shows that the upstream lives.
  mNow += milliseconds{ 40 };
  auto const copy = mSteering.Steer(mNow, flow.Opening(1));
  LONGS_EQUAL(first.mSlot, copy.mSlot);
  CHECK(copy.mCause == SteeringCause::OpeningCopy);
}

TEST(CookieSteering, a_copy_leaves_an_upstream_that_let_the_first_one_wait)
{
  SampleFlow flow;
  auto const first = mSteering.Steer(mNow, flow.Opening());
  mNow += milliseconds{ 200 };
  auto const copy = mSteering.Steer(mNow, flow.Opening(1));
  CHECK(copy.mCause == SteeringCause::SecondChoice);
  CHECK(first.mSlot != copy.mSlot);
  // The late answer of the first one must not draw the flow back to it.
  mNow += milliseconds{ 8 };
  (void)mSteering.Steer(mNow, flow.FirstData(copy.mCookie));
  mNow += milliseconds{ 8 };
  LONGS_EQUAL(copy.mSlot,
              mSteering.Steer(mNow, flow.Acknowledge(first.mCookie)).mSlot);
}

TEST(CookieSteering, new_flows_leave_an_upstream_that_crashed)
{
  std::vector<SampleFlow> flows;
  std::vector<SteeringVerdict> opened;
  for (std::uint16_t port = 42000; port < 42012; ++port) {
    flows.emplace_back(CallerAt(port));
    opened.push_back(Serve(flows.back()));
  }
  // The next flow that a1 is given stays without an answer.
  std::uint16_t port = 43000;
  auto next = [&] {
    return mSteering.Steer(mNow, SampleFlow(CallerAt(port++)).Opening());
  };
  while (NameAt(next()) != "a1") {
  }
  mNow += UpstreamWatch::kHandshakeMost;
  for (int count = 0; count < 30; ++count) {
    CHECK(NameAt(next()) != "a1");
  }
}

TEST(CookieSteering, flows_of_a_silent_upstream_are_reset_idle_ones_too)
{
  std::vector<std::pair<SampleFlow, SteeringVerdict>> flows;
  for (std::uint16_t port = 42000; port < 42012; ++port) {
    SampleFlow flow(CallerAt(port));
    auto const verdict = Serve(flow);
    flows.push_back({ flow, verdict });
  }
  std::vector<std::size_t> atFirst;
  std::size_t elsewhere = 0;
  for (std::size_t index = 0; index < flows.size(); ++index) {
    if (flows[index].second.mSlot == flows[0].second.mSlot) {
      atFirst.push_back(index);
    } else {
      elsewhere = index;
    }
  }
  CHECK(atFirst.size() >= 3);
  auto const send = [&](std::size_t aIndex, bool aIsCopy) {
    auto& [flow, verdict] = flows[aIndex];
    return mSteering.Steer(mNow, flow.Data(verdict.mCookie, aIsCopy));
  };
  // Two requests get no answer; their callers repeat them.
  (void)send(atFirst[0], false);
  (void)send(atFirst[1], false);
  mNow += milliseconds{ 200 };
  (void)send(atFirst[0], true);
  (void)send(atFirst[1], true);
  mNow += milliseconds{ 200 };
  // Others are well, so that this VM is not the one that is cut off.
  auto& [other, verdict] = flows[elsewhere];
  (void)mSteering.Steer(mNow, other.Data(verdict.mCookie));
  (void)mSteering.Steer(mNow, other.Acknowledge(verdict.mCookie));
  mSteering.Sweep(mNow);
  LONGS_EQUAL(atFirst.size(), mSteering.TakeResets().size());
}

TEST(CookieSteering, flows_of_an_upstream_out_of_reach_are_reset_idle_ones_too)
{
  auto [flow, opened] = ServeAt("a1");
  // Another one rests there.
  (void)ServeAt("a1");
  (void)mSteering.Steer(mNow, flow.Data(opened.mCookie));
  mNow += milliseconds{ 200 };
  (void)mSteering.Steer(mNow, flow.Data(opened.mCookie, true));
  std::vector<std::uint32_t> lost;
  for (auto const slot : mSteering.NextReachChecks(mNow)) {
    lost = mSteering.NoteReach(mNow,
                               slot,
                               slot == opened.mSlot ? ReachAnswer::None
                                                    : ReachAnswer::Accepted);
  }
  LONGS_EQUAL(1, lost.size());
  mSteering.Sweep(mNow);
  auto const& load = mSteering.Loads()[opened.mSlot];
  LONGS_EQUAL(0, load.mFlows);
  CHECK(mSteering.TakeResets().size() >= 2);
  // New flows go elsewhere until it takes a connection again.
  for (std::uint16_t port = 60000; port < 60020; ++port) {
    SampleFlow fresh(CallerAt(port));
    CHECK(mSteering.Steer(mNow, fresh.Opening()).mSlot != opened.mSlot);
  }
  (void)mSteering.NoteReach(mNow, opened.mSlot, ReachAnswer::Accepted);
  CHECK(load.mWatch.Health(mNow) != UpstreamHealth::Unreachable);
}

TEST(CookieSteering, nothing_is_reset_while_no_upstream_answers_at_all)
{
  auto [flow, opened] = ServeAt("a1");
  mNow += seconds{ 2 };
  (void)mSteering.Steer(mNow, flow.Data(opened.mCookie));
  for (int copy = 0; copy < 6; ++copy) {
    mNow += milliseconds{ 300 };
    auto const verdict = mSteering.Steer(mNow, flow.Data(opened.mCookie, true));
    CHECK(verdict.mAction == SteeringAction::Forward);
  }
  mSteering.Sweep(mNow);
  LONGS_EQUAL(0, mSteering.TakeResets().size());
}

TEST(CookieSteering, packets_that_overtook_each_other_are_no_repetition)
{
  auto [flow, opened] = ServeAt("a1");
  auto const& watch = mSteering.Loads()[opened.mSlot].mWatch;
  // The second packet of a request arrives before the first one.
  auto const first = flow.Data(opened.mCookie);
  auto const second = flow.Data(opened.mCookie);
  (void)mSteering.Steer(mNow, second);
  (void)mSteering.Steer(mNow + milliseconds{ 2 }, first);
  LONGS_EQUAL(0, watch.RepeatingFlows());
}

TEST(CookieSteering, callers_that_gave_up_prove_nothing_against_their_upstream)
{
  // Their VM stood still; their time ended, and they close through this one.
  auto const& load = [&](std::uint32_t aSlot) -> UpstreamLoad const& {
    return mSteering.Loads()[aSlot];
  };
  auto [first, opened] = ServeAt("a1");
  auto [second, alsoOpened] = ServeAt("a1");
  LONGS_EQUAL(opened.mSlot, alsoOpened.mSlot);
  auto const cookie = opened.mCookie;
  auto const close = [&](SampleFlow& aFlow, bool aIsCopy) {
    auto packet = aFlow.Data(cookie, aIsCopy);
    packet.mCloses = true;
    return mSteering.Steer(mNow, packet).mAction;
  };
  (void)close(first, false);
  (void)close(second, false);
  for (int copy = 0; copy < 4; ++copy) {
    mNow += milliseconds{ 400 };
    CHECK(close(first, true) == SteeringAction::Forward);
    CHECK(close(second, true) == SteeringAction::Forward);
  }
  CHECK(load(opened.mSlot).mWatch.Health(mNow) == UpstreamHealth::Answering);
}

TEST(CookieSteering, data_that_another_vm_was_given_first_is_no_repetition_here)
{
  auto [flow, opened] = ServeAt("a1");
  CookieSteering other(4);
  other.Use(mStore.View(mNow));
  // The request goes to a VM that stands still; an acknowledgement of the end
  // of the last answer and then the repetition come here.
  (void)flow.Data(opened.mCookie);
  (void)other.Steer(mNow, flow.Acknowledge(opened.mCookie));
  mNow += milliseconds{ 300 };
  (void)other.Steer(mNow, flow.Data(opened.mCookie, true));
  LONGS_EQUAL(0, other.Loads()[opened.mSlot].mWatch.RepeatingFlows());
  mNow += milliseconds{ 400 };
  (void)other.Steer(mNow, flow.Data(opened.mCookie, true));
  LONGS_EQUAL(1, other.Loads()[opened.mSlot].mWatch.RepeatingFlows());
}

TEST(CookieSteering, a_pause_of_the_vm_is_not_held_against_upstreams)
{
  auto [flow, opened] = ServeAt("a1");
  (void)mSteering.Steer(mNow, flow.Data(opened.mCookie));
  SampleFlow waiting(CallerAt(45000));
  (void)mSteering.Steer(mNow, waiting.Opening());
  mNow += seconds{ 3 };
  mSteering.Forgive(mNow);
  for (auto const& load : mSteering.Loads()) {
    CHECK(load.mWatch.Health(mNow) == UpstreamHealth::Answering);
  }
}

TEST(CookieSteering, openings_that_waited_while_the_vm_stood_still_are_dropped)
{
  // Found by the soak, seed 15: their callers had long opened the flows through
  // other VMs, at other upstreams.
  mSteering.Forgive(mNow);
  SampleFlow flow;
  auto const late = mSteering.Steer(mNow, flow.Opening());
  CHECK(late.mAction == SteeringAction::Drop);
  CHECK(late.mCause == SteeringCause::LateOpening);
  mNow += milliseconds{ 200 };
  auto const copy = mSteering.Steer(mNow, flow.Opening(1));
  CHECK(copy.mAction == SteeringAction::Forward);
}

TEST(CookieSteering, loads_return_to_zero_when_flows_close_or_are_forgotten)
{
  CheckProperty("loads are balanced", [&] {
    CookieSteering steering(*rc::gen::arbitrary<std::uint64_t>());
    steering.Use(mStore.View(kStart));
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
