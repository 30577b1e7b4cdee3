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
  std::vector<ZoneSilenceDetector> mZoneSilence;
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
    RefreshView(kStart);
  }

  void RefreshView(TimePoint aNow)
  {
    mView = mStore.View(aNow);
    mLoads.resize(mView->mUpstreams.size());
    mZoneSilence.resize(mView->mZones.size() + 1);
  }

  std::string Pick(TimePoint aNow, bool aIsSaturated = false)
  {
    auto const selection =
      mSelector.Pick(aNow,
                     *mView,
                     mView->mServices.front(),
                     { mLoads, mZoneSilence, aIsSaturated, std::nullopt });
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

TEST(UpstreamSelector, new_flows_stay_in_the_zone_and_are_balanced)
{
  auto const counts = PickMany(400);
  LONGS_EQUAL(4, counts.size());
  for (auto const& [name, count] : counts) {
    LONGS_EQUAL('a', name.front());
    LONGS_EQUAL(100, count);
  }
}

TEST(UpstreamSelector, a_slow_upstream_gets_fewer_flows_even_without_open_flows)
{
  auto const slow = SlotOf(*mView, "a1");
  for (int count = 0; count < 40; ++count) {
    mLoads[slow].mAnswerTime.RecordAnswer(kStart, 5.0);
  }
  // The other upstreams have flows; the slow one has lost all of its flows.
  for (char const* name : { "a2", "a3", "a4" }) {
    mLoads[SlotOf(*mView, name)].mFlows = 10;
  }
  auto counts = PickMany(60);
  // The slow upstream gets about a fifth of the flows of another one.
  CHECK(counts["a1"] <= 6);
  CHECK(counts["a2"] >= 15);
}

TEST(UpstreamSelector, a_slow_measurement_expires)
{
  RelativeAnswerTime answerTime;
  for (int count = 0; count < 40; ++count) {
    answerTime.RecordAnswer(kStart, 5.0);
  }
  CHECK(answerTime.Slowness(kStart) > 4.0);
  auto const later = kStart + RelativeAnswerTime::kMaxAge;
  DOUBLES_EQUAL(1.0, answerTime.Slowness(later), 1e-9);
  answerTime.RecordAnswer(later, 1.0);
  DOUBLES_EQUAL(1.0, answerTime.Slowness(later), 1e-9);
}

TEST(UpstreamSelector, a_single_late_answer_does_not_make_an_upstream_slow)
{
  RelativeAnswerTime answerTime;
  for (int count = 0; count < 20; ++count) {
    answerTime.RecordAnswer(kStart, 1.0);
  }
  answerTime.RecordAnswer(kStart, 9.0);
  CHECK(answerTime.Slowness(kStart) <= 2.0);
}

TEST(UpstreamSelector, a_saturated_zone_shares_new_flows_with_other_zones)
{
  auto const counts = PickMany(600, true);
  LONGS_EQUAL(6, counts.size());
  for (auto const& [name, count] : counts) {
    LONGS_EQUAL(100, count);
  }
}

TEST(UpstreamSelector, saturation_begins_and_ends_with_several_answers)
{
  ZoneSaturationDetector detector;
  auto now = kStart;
  auto const answer = [&](milliseconds aTime, int aCount) {
    for (int count = 0; count < aCount; ++count) {
      now += milliseconds{ 10 };
      detector.RecordAnswer(now, aTime);
    }
  };
  answer(milliseconds{ 60 }, 200);
  CHECK_FALSE(detector.IsSaturated(now, kTarget));
  // A single slow answer does not indicate a queue.
  answer(milliseconds{ 600 }, 1);
  CHECK_FALSE(detector.IsSaturated(now, kTarget));
  answer(milliseconds{ 240 }, 100);
  CHECK(detector.IsSaturated(now, kTarget));
  answer(milliseconds{ 60 }, 100);
  CHECK_FALSE(detector.IsSaturated(now, kTarget));
}

TEST(UpstreamSelector, a_delay_far_below_the_latency_target_is_not_saturation)
{
  ZoneSaturationDetector detector;
  auto now = kStart;
  for (int count = 0; count < 400; ++count) {
    now += milliseconds{ 10 };
    detector.RecordAnswer(now, milliseconds{ count < 200 ? 10 : 50 });
  }
  CHECK(detector.IsSaturated(now, milliseconds{ 100 }));
  CHECK_FALSE(detector.IsSaturated(now, milliseconds{ 1200 }));
}

TEST(UpstreamSelector, a_lasting_change_of_the_answer_time_is_not_saturation)
{
  ZoneSaturationDetector detector;
  auto now = kStart;
  for (int count = 0; count < 20000; ++count) {
    now += milliseconds{ 10 };
    bool const isSlow = count > 1000;
    detector.RecordAnswer(now, milliseconds{ isSlow ? 160 : 60 });
  }
  CHECK_FALSE(detector.IsSaturated(now, kTarget));
}

TEST(UpstreamSelector, saturation_expires_without_answers)
{
  ZoneSaturationDetector detector;
  auto now = kStart;
  for (int count = 0; count < 400; ++count) {
    now += milliseconds{ 10 };
    detector.RecordAnswer(now, milliseconds{ count < 200 ? 60 : 300 });
  }
  CHECK(detector.IsSaturated(now, kTarget));
  CHECK_FALSE(detector.IsSaturated(now + seconds{ 3 }, kTarget));
}

TEST(UpstreamSelector, drained_evacuated_and_removed_upstreams_get_no_new_flows)
{
  auto draining = SampleUpstream("a1", "a");
  draining.mDraining = true;
  mStore.Register(kStart, draining);
  mStore.Remove(kStart, "a2");
  mStore.Evacuate(kStart, "b", true);
  auto const later = kStart + seconds{ 3 };
  RefreshView(later);
  for (int count = 0; count < 100; ++count) {
    auto const name = Pick(later);
    CHECK(name == "a3" || name == "a4");
  }
}

TEST(UpstreamSelector, upstreams_with_missing_registrations_are_the_last_choice)
{
  // All registrations lapse at once, as in a store outage.
  for (char const* name : { "a1", "a2", "a3", "a4", "b1", "b2" }) {
    mStore.Remove(kStart, name);
  }
  RefreshView(kStart);
  CHECK(Pick(kStart) != "");
  mStore.Register(kStart, SampleUpstream("b1", "b"));
  RefreshView(kStart);
  STRCMP_EQUAL("b1", Pick(kStart).c_str());
}

TEST(UpstreamSelector,
     only_one_vm_admits_flows_to_a_cold_upstream_within_its_limit)
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
  int admittingVms = 0;
  for (auto const self : vms) {
    mStore.TargetDirectory().SetAdmittingVms(vms, self);
    RefreshView(now);
    mLoads.assign(mView->mUpstreams.size(), {});
    int admitted = 0;
    for (int count = 0; count < 50; ++count) {
      admitted += Pick(now).empty() ? 0 : 1;
    }
    total += admitted;
    admittingVms += admitted > 0 ? 1 : 0;
  }
  LONGS_EQUAL(1, admittingVms);
  // The limit of a cold upstream is 2 * 1.5 + 5 = 8 flows a second; each VM
  // uses half of it, as two VMs may overlap.
  LONGS_EQUAL(4, total);
}

TEST(UpstreamSelector,
     a_vm_without_known_peers_admits_no_flows_to_cold_upstreams)
{
  auto cold = SampleUpstream("a9", "a");
  cold.mRemainingColdTime = seconds{ 4 };
  mStore.Register(kStart, cold);
  RefreshView(kStart);
  for (int count = 0; count < 50; ++count) {
    CHECK(Pick(kStart) != "a9");
  }
}

TEST(UpstreamSelector, a_zone_is_cold_after_its_evacuation_ends)
{
  mStore.Evacuate(kStart, "a", true);
  mStore.Evacuate(kStart + seconds{ 8 }, "a", false);
  auto const now = kStart + seconds{ 9 };
  RefreshView(now);
  for (int count = 0; count < 20; ++count) {
    LONGS_EQUAL('b', Pick(now).front());
  }
  auto const later = kStart + seconds{ 11 };
  LONGS_EQUAL('a', Pick(later).front());
}

TEST(UpstreamSelector, services_of_a_route_are_picked_by_weight)
{
  ResolvedRoute route;
  route.mShares = { { 0, 90 }, { 1, 10 } };
  int second = 0;
  for (int count = 0; count < 10000; ++count) {
    second += mSelector.PickService(route) == 1 ? 1 : 0;
  }
  CHECK(second > 850 && second < 1150);
}
