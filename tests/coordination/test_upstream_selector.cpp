#include "tarragonsill_test.hpp"

#include "support/routing_fixture.hpp"

#include <set>

using namespace tarragonsill;
using namespace tarragonsill::Test;

namespace {

constexpr TimePoint kStart{ seconds{ 100 } };
constexpr milliseconds kTarget{ 250 };

} // namespace

TEST_GROUP(UpstreamSelector)
{
  SampleStore mStore;
  UpstreamSelector mSelector{ 7 };
  std::vector<UpstreamLoad> mLoads;
  RoutingViewPointer mView;

  void setup() override
  {
    mStore.ListAll(kStart);
    mStore.Configure(kStart, SampleConfiguration());
    for (char const* name : { "a1", "a2", "a3", "a4" }) {
      mStore.Register(kStart, SampleUpstream(name, "a"));
    }
    for (char const* name : { "b1", "b2" }) {
      mStore.Register(kStart, SampleUpstream(name, "b"));
    }
    Refresh(kStart);
  }

  void Refresh(TimePoint aNow)
  {
    mView = mStore.View(aNow);
    mLoads.resize(mView->mUpstreams.size());
  }

  std::string Pick(TimePoint aNow, bool aIsSaturated = false)
  {
    auto const selection =
      mSelector.Pick(aNow,
                     *mView,
                     mView->mServices.front(),
                     { mLoads, aIsSaturated, std::nullopt });
    if (!selection) {
      return "";
    }
    ++mLoads[selection->mSlot].mFlows;
    return mView->mUpstreams[selection->mSlot].mRegistration.mName;
  }

  std::map<std::string, int> PickMany(int aCount, bool aIsSaturated = false)
  {
    std::map<std::string, int> counts;
    for (int count = 0; count < aCount; ++count) {
      ++counts[Pick(kStart, aIsSaturated)];
    }
    return counts;
  }
};

TEST(UpstreamSelector, new_flows_stay_in_the_zone_and_spread_evenly)
{
  auto const counts = PickMany(400);
  LONGS_EQUAL(4, counts.size());
  for (auto const& [name, count] : counts) {
    LONGS_EQUAL('a', name.front());
    LONGS_EQUAL(100, count);
  }
}

TEST(UpstreamSelector,
     a_slow_upstream_gets_fewer_flows_also_when_callers_left_it)
{
  auto const slow = SlotOf(*mView, "a1");
  for (int count = 0; count < 40; ++count) {
    mLoads[slow].mAnswerTime.Answered(kStart, 5.0);
  }
  // The others hold flows, the slow one lost all of its own.
  for (char const* name : { "a2", "a3", "a4" }) {
    mLoads[SlotOf(*mView, name)].mFlows = 10;
  }
  auto counts = PickMany(60);
  // A fifth of the flows of another one.
  CHECK(counts["a1"] <= 6);
  CHECK(counts["a2"] >= 15);
}

TEST(UpstreamSelector, a_slow_upstream_is_tried_again_after_some_time)
{
  RelativeAnswerTime answerTime;
  for (int count = 0; count < 40; ++count) {
    answerTime.Answered(kStart, 5.0);
  }
  CHECK(answerTime.Slowness(kStart) > 4.0);
  auto const later = kStart + RelativeAnswerTime::kForgetAfter;
  DOUBLES_EQUAL(1.0, answerTime.Slowness(later), 1e-9);
  answerTime.Answered(later, 1.0);
  DOUBLES_EQUAL(1.0, answerTime.Slowness(later), 1e-9);
}

TEST(UpstreamSelector, one_late_answer_makes_no_upstream_slow)
{
  RelativeAnswerTime answerTime;
  for (int count = 0; count < 20; ++count) {
    answerTime.Answered(kStart, 1.0);
  }
  answerTime.Answered(kStart, 9.0);
  CHECK(answerTime.Slowness(kStart) <= 2.0);
}

TEST(UpstreamSelector, a_zone_under_full_load_shares_with_the_others)
{
  auto const counts = PickMany(600, true);
  LONGS_EQUAL(6, counts.size());
  for (auto const& [name, count] : counts) {
    LONGS_EQUAL(100, count);
  }
}

TEST(UpstreamSelector, pressure_needs_a_while_to_build_and_to_fade)
{
  ZonePressure pressure;
  auto now = kStart;
  auto const answer = [&](milliseconds aTime, int aTimes) {
    for (int time = 0; time < aTimes; ++time) {
      now += milliseconds{ 10 };
      pressure.Answered(now, aTime);
    }
  };
  answer(milliseconds{ 60 }, 200);
  CHECK_FALSE(pressure.IsSaturated(now, kTarget));
  // One slow answer is not a queue.
  answer(milliseconds{ 600 }, 1);
  CHECK_FALSE(pressure.IsSaturated(now, kTarget));
  answer(milliseconds{ 240 }, 100);
  CHECK(pressure.IsSaturated(now, kTarget));
  answer(milliseconds{ 60 }, 100);
  CHECK_FALSE(pressure.IsSaturated(now, kTarget));
}

TEST(UpstreamSelector, a_wait_that_no_caller_minds_is_no_pressure)
{
  ZonePressure pressure;
  auto now = kStart;
  for (int time = 0; time < 400; ++time) {
    now += milliseconds{ 10 };
    pressure.Answered(now, milliseconds{ time < 200 ? 10 : 50 });
  }
  CHECK(pressure.IsSaturated(now, milliseconds{ 100 }));
  CHECK_FALSE(pressure.IsSaturated(now, milliseconds{ 1200 }));
}

TEST(UpstreamSelector, slower_work_is_no_queue_once_it_lasts)
{
  ZonePressure pressure;
  auto now = kStart;
  for (int time = 0; time < 20000; ++time) {
    now += milliseconds{ 10 };
    bool const isSlow = time > 1000;
    pressure.Answered(now, milliseconds{ isSlow ? 160 : 60 });
  }
  CHECK_FALSE(pressure.IsSaturated(now, kTarget));
}

TEST(UpstreamSelector, without_answers_nothing_is_known_of_a_queue)
{
  ZonePressure pressure;
  auto now = kStart;
  for (int time = 0; time < 400; ++time) {
    now += milliseconds{ 10 };
    pressure.Answered(now, milliseconds{ time < 200 ? 60 : 300 });
  }
  CHECK(pressure.IsSaturated(now, kTarget));
  CHECK_FALSE(pressure.IsSaturated(now + seconds{ 3 }, kTarget));
}

TEST(UpstreamSelector, drained_evacuated_and_removed_upstreams_get_nothing)
{
  auto draining = SampleUpstream("a1", "a");
  draining.mDraining = true;
  mStore.Register(kStart, draining);
  mStore.Remove(kStart, "a2");
  mStore.Evacuate(kStart, "b", true);
  auto const later = kStart + seconds{ 3 };
  Refresh(later);
  for (int count = 0; count < 100; ++count) {
    auto const name = Pick(later);
    CHECK(name == "a3" || name == "a4");
  }
}

TEST(UpstreamSelector, a_missing_registration_is_used_when_nothing_else_is_left)
{
  // All registrations lapse at once, as in an outage of the store.
  for (char const* name : { "a1", "a2", "a3", "a4", "b1", "b2" }) {
    mStore.Remove(kStart, name);
  }
  Refresh(kStart);
  CHECK(Pick(kStart) != "");
  mStore.Register(kStart, SampleUpstream("b1", "b"));
  Refresh(kStart);
  STRCMP_EQUAL("b1", Pick(kStart).c_str());
}

TEST(UpstreamSelector,
     only_one_vm_gives_work_to_a_cold_upstream_within_its_limit)
{
  for (char const* name : { "a1", "a2", "a3", "a4", "b1", "b2" }) {
    mStore.Remove(kStart, name);
  }
  auto cold = SampleUpstream("a9", "a");
  cold.mRemainingColdTime = seconds{ 4 };
  mStore.Register(kStart, cold);
  auto const now = kStart + seconds{ 3 };
  std::vector<std::uint64_t> const vms = { 11, 22, 33 };
  int total = 0;
  int givers = 0;
  for (auto const self : vms) {
    mStore.Knowledge().SetAdmittingVms(vms, self);
    Refresh(now);
    mLoads.assign(mView->mUpstreams.size(), {});
    int taken = 0;
    for (int count = 0; count < 50; ++count) {
      taken += Pick(now).empty() ? 0 : 1;
    }
    total += taken;
    givers += taken > 0 ? 1 : 0;
  }
  LONGS_EQUAL(1, givers);
  // 2 flows a second times 1.5 plus 5 bear 8; two VMs may overlap.
  LONGS_EQUAL(4, total);
}

TEST(UpstreamSelector,
     a_vm_that_does_not_know_its_peers_gives_nothing_to_the_cold)
{
  auto cold = SampleUpstream("a9", "a");
  cold.mRemainingColdTime = seconds{ 4 };
  mStore.Register(kStart, cold);
  Refresh(kStart);
  for (int count = 0; count < 50; ++count) {
    CHECK(Pick(kStart) != "a9");
  }
}

TEST(UpstreamSelector, a_zone_that_is_taken_back_is_cold_at_first)
{
  mStore.Evacuate(kStart, "a", true);
  mStore.Evacuate(kStart + seconds{ 8 }, "a", false);
  auto const now = kStart + seconds{ 9 };
  Refresh(now);
  for (int count = 0; count < 20; ++count) {
    LONGS_EQUAL('b', Pick(now).front());
  }
  auto const later = kStart + seconds{ 11 };
  LONGS_EQUAL('a', Pick(later).front());
}

TEST(UpstreamSelector, shares_of_a_route_follow_their_weights)
{
  ResolvedRoute route;
  route.mShares = { { 0, 90 }, { 1, 10 } };
  int second = 0;
  for (int count = 0; count < 10000; ++count) {
    second += mSelector.PickService(route) == 1 ? 1 : 0;
  }
  CHECK(second > 850 && second < 1150);
}
