#include "tarragonsill_test.hpp"

#include "support/cookie_fixture.hpp"
#include "tarragonsill/coordination/tarragonsill_expected_delay.hpp"

#include <algorithm>
#include <cmath>
#include <deque>

using namespace tarragonsill;
using namespace tarragonsill::Test;

namespace {

/// Answers later than this are late.
constexpr int kLateMs = 500;
/// The mean work of a request without the long ones.
constexpr double kWorkMs = 45.0;
constexpr int kReportIntervalMs = 500;
constexpr int kWindowMs = 3000;
constexpr std::size_t kSlots = 2;
constexpr std::size_t kQueue = 8;

struct ModelRequest
{
  int mSent = 0;
  double mWorkLeftMs = 0.0;
  double mWorkMs = 0.0;
};

struct ModelUpstream
{
  double mSpeed = 1.0;
  bool mRejectsAll = false;
  double mFlows = 0.0;
  std::deque<ModelRequest> mRequests; ///< The first ones occupy the slots.
  std::deque<std::pair<int, double>> mAnswers; ///< When, and relative time.
  int mPlaced = 0;
};

struct ModelFlow
{
  std::size_t mUpstream = 0;
  int mRequestsLeft = 0;
  int mNextRequest = 0;
};

/// The upstreams of a zone and their callers; time passes in milliseconds. All
/// placements between two reports see the same report.
class ZoneModel
{
public:
  ZoneModel(std::vector<double> const& aSpeeds, double aFlowsPerSecond)
    : mFlowsPerSecond(aFlowsPerSecond)
  {
    for (auto const speed : aSpeeds) {
      mUpstreams.emplace_back().mSpeed = speed;
    }
  }

  ModelUpstream& At(std::size_t aIndex) { return mUpstreams[aIndex]; }
  double LateShare() const { return 1.0 * mLate / std::max(1, mDone); }
  void UseExpectedDelay(bool aUses) { mUsesDelay = aUses; }
  /// What the last report says.
  std::vector<UpstreamDemand> const& Report() const { return mReport; }

  void Run(int aDurationMs)
  {
    for (int step = 0; step < aDurationMs; ++step, ++mNow) {
      if (mNow % kReportIntervalMs == 0) {
        MakeReport();
      }
      if (Uniform() < mFlowsPerSecond / 1000.0) {
        OpenFlow();
      }
      SendRequests();
      Work();
    }
  }

  /// Returns the share of the flows that are placed at an upstream meanwhile.
  double ShareDuring(std::size_t aIndex, int aDurationMs)
  {
    auto const opened = mOpened;
    auto const placed = mUpstreams[aIndex].mPlaced;
    Run(aDurationMs);
    return 1.0 * (mUpstreams[aIndex].mPlaced - placed) / (mOpened - opened);
  }

private:
  double Uniform()
  {
    return std::uniform_real_distribution<double>(0.0, 1.0)(mRandom);
  }

  void MakeReport()
  {
    mReport.clear();
    for (auto& upstream : mUpstreams) {
      while (!upstream.mAnswers.empty() &&
             upstream.mAnswers.front().first < mNow - kWindowMs) {
        upstream.mAnswers.pop_front();
      }
      double sum = 0.0;
      for (auto const& [time, ratio] : upstream.mAnswers) {
        // As `AnswerObserver` limits a single answer.
        sum += std::clamp(std::log(ratio), -std::log(4.0), std::log(4.0));
      }
      auto const answers = static_cast<double>(upstream.mAnswers.size());
      mReport.push_back({ static_cast<double>(kSlots),
                          upstream.mFlows,
                          static_cast<double>(upstream.mRequests.size()),
                          true,
                          answers,
                          answers > 0.0 ? std::exp(sum / answers) : 1.0 });
    }
  }

  /// Flows have three requests on average.
  void OpenFlow()
  {
    auto const estimates = EstimateDelays(mReport, 3.0);
    auto const chosen =
      mUsesDelay ? ChooseByDelay(estimates, mRandom)
                 : static_cast<std::size_t>(mOpened) % mUpstreams.size();
    ++mOpened;
    ++mUpstreams[chosen].mPlaced;
    ++mUpstreams[chosen].mFlows;
    mFlows.push_back({ chosen, 1 + static_cast<int>(5.0 * Uniform()), mNow });
  }

  void SendRequests()
  {
    for (std::size_t index = 0; index < mFlows.size(); ++index) {
      auto& flow = mFlows[index];
      if (mNow < flow.mNextRequest) {
        continue;
      }
      auto& upstream = mUpstreams[flow.mUpstream];
      bool const isRejected =
        upstream.mRejectsAll || upstream.mRequests.size() >= kSlots + kQueue;
      if (isRejected) {
        upstream.mAnswers.emplace_back(mNow, 0.02);
      } else {
        auto const work =
          kWorkMs * (0.5 + Uniform()) * (Uniform() < 0.03 ? 7.0 : 1.0);
        upstream.mRequests.push_back({ mNow, work, work });
      }
      flow.mNextRequest = mNow + 500 + static_cast<int>(2000.0 * Uniform());
      // Callers leave when they are rejected.
      if (isRejected || --flow.mRequestsLeft == 0) {
        --upstream.mFlows;
        flow = mFlows.back();
        mFlows.pop_back();
        --index;
      }
    }
  }

  void Work()
  {
    for (auto& upstream : mUpstreams) {
      auto& requests = upstream.mRequests;
      for (std::size_t slot = std::min(kSlots, requests.size()); slot-- > 0;) {
        requests[slot].mWorkLeftMs -= upstream.mSpeed;
        if (requests[slot].mWorkLeftMs > 0.0) {
          continue;
        }
        auto const time = mNow - requests[slot].mSent;
        upstream.mAnswers.emplace_back(mNow, std::max(1, time) / kWorkMs);
        ++mDone;
        mLate += time > kLateMs ? 1 : 0;
        requests.erase(requests.begin() + static_cast<std::ptrdiff_t>(slot));
      }
    }
  }

  std::mt19937_64 mRandom{ 11 };
  std::vector<ModelUpstream> mUpstreams;
  std::vector<ModelFlow> mFlows;
  std::vector<UpstreamDemand> mReport;
  double mFlowsPerSecond;
  bool mUsesDelay = true;
  int mNow = 0;
  int mOpened = 0;
  int mDone = 0;
  int mLate = 0;
};

/// Of each three upstreams, two run at 0.7 and one at 1.7 of the usual speed.
std::vector<double>
ThreeSpeeds()
{
  std::vector<double> speeds;
  for (int count = 0; count < 10; ++count) {
    speeds.insert(speeds.end(), { 0.7, 0.7, 1.7 });
  }
  return speeds;
}

std::vector<double>
AlikeSpeeds(std::size_t aCount = 30)
{
  return std::vector<double>(aCount, 1.0);
}

double
LateShareOf(std::vector<double> const& aSpeeds,
            double aFlowsPerSecond,
            bool aUsesDelay,
            int aDurationMs = 40000)
{
  ZoneModel zone(aSpeeds, aFlowsPerSecond);
  zone.UseExpectedDelay(aUsesDelay);
  zone.Run(aDurationMs);
  return zone.LateShare();
}

/// Placements of 70 VMs of which each makes ten with the same estimates.
std::vector<int>
PlacementsOf70Vms(std::span<DelayEstimate const> aEstimates)
{
  std::vector<int> counts(aEstimates.size());
  for (std::uint64_t vm = 0; vm < 70; ++vm) {
    std::mt19937_64 random(vm);
    for (int count = 0; count < 10; ++count) {
      ++counts[ChooseByDelay(aEstimates, random)];
    }
  }
  return counts;
}

} // namespace

TEST_GROUP(ExpectedDelay){};

/// Load: a third of all slots, and half of them, at upstreams of unlike speed.
TEST(ExpectedDelay, three_speeds_have_less_than_half_of_the_late_answers)
{
  for (double const flowsPerSecond : { 140.0, 210.0 }) {
    auto const even = LateShareOf(ThreeSpeeds(), flowsPerSecond, false);
    auto const byDelay = LateShareOf(ThreeSpeeds(), flowsPerSecond, true);
    CHECK(even > 0.004);
    CHECK(byDelay < 0.5 * even);
  }
}

/// Load: a third of all slots at upstreams that are alike.
TEST(ExpectedDelay, alike_upstreams_stay_evenly_used)
{
  ZoneModel zone(AlikeSpeeds(), 140.0);
  zone.Run(200000);
  int busiest = 0;
  int total = 0;
  for (std::size_t index = 0; index < 30; ++index) {
    busiest = std::max(busiest, zone.At(index).mPlaced);
    total += zone.At(index).mPlaced;
  }
  CHECK(busiest < 1.25 * total / 30);
  CHECK(zone.LateShare() <=
        1.1 * LateShareOf(AlikeSpeeds(), 140.0, false, 200000) + 1e-4);
}

/// Load: one of 30 upstreams runs at a seventh of its speed for 6 s.
TEST(ExpectedDelay, an_upstream_that_turns_slow_is_left_and_taken_up_again)
{
  ZoneModel zone(AlikeSpeeds(), 140.0);
  zone.Run(8000);
  zone.At(3).mSpeed = 1.0 / 7;
  zone.Run(1500);
  CHECK(zone.ShareDuring(3, 4500) < 0.5 / 30);
  zone.At(3).mSpeed = 1.0;
  zone.Run(5000);
  CHECK(zone.ShareDuring(3, 6000) > 0.6 / 30);
}

/// Load: an upstream is so slow that it rejects what exceeds its queue, and
/// callers leave it.
TEST(ExpectedDelay, an_upstream_that_sheds_does_not_attract_flows)
{
  ZoneModel zone(AlikeSpeeds(), 210.0);
  zone.At(5).mSpeed = 0.1;
  zone.Run(5000);
  CHECK(zone.ShareDuring(5, 10000) < 0.5 / 30);
}

/// Load: an upstream rejects all requests at once, and seems to be fast and
/// idle.
TEST(ExpectedDelay, an_upstream_that_rejects_all_gets_no_more_than_its_share)
{
  ZoneModel zone(AlikeSpeeds(), 140.0);
  zone.At(5).mRejectsAll = true;
  zone.Run(5000);
  CHECK(zone.ShareDuring(5, 20000) < 1.4 / 30);
}

/// Load: a service of two upstreams, one of them half as fast.
TEST(ExpectedDelay, a_service_of_two_upstreams_uses_both)
{
  ZoneModel zone({ 1.0, 0.5 }, 8.0);
  zone.Run(5000);
  auto const share = zone.ShareDuring(1, 30000);
  CHECK(share > kTrialShare / 2);
  CHECK(share < 0.45);
}

/// Load: 70 VMs place flows by one report, 0.2 to 3 s old, that shows upstreams
/// of three speeds; and one upstream that is idle while the others are busy.
TEST(ExpectedDelay, seventy_vms_with_one_report_exceed_no_upstreams_bound)
{
  ZoneModel zone(ThreeSpeeds(), 210.0);
  zone.Run(10200);
  auto demands = zone.Report();
  for (bool const oneIsIdle : { false, true }) {
    if (oneIsIdle) {
      demands[7].mFlows = 0.0;
      demands[7].mInProgress = 0.0;
    }
    auto const estimates = EstimateDelays(demands, 3.0);
    double room = 0.0;
    for (auto const& estimate : estimates) {
      room += estimate.mRoom;
    }
    auto const counts = PlacementsOf70Vms(estimates);
    for (std::size_t index = 0; index < counts.size(); ++index) {
      auto const share = estimates[index].mRoom / room;
      auto const bound = 700 * (kDraws * share + kTrialShare / 30);
      // Four standard deviations of a count.
      CHECK(counts[index] <= bound + 4.0 * std::sqrt(bound));
    }
  }
}

/// Load: an upstream with three answers that were fast by chance.
TEST(ExpectedDelay, few_answers_count_little)
{
  std::vector<UpstreamDemand> demands(10, { 2.0, 5.0, 1.0, true, 80.0, 1.0 });
  demands[0].mRelativeTime = 2.0;
  demands[1].mAnswers = 3.0;
  demands[1].mRelativeTime = 0.5;
  auto const times = ShrunkRelativeTimes(demands);
  CHECK(times[0] > 1.7);
  CHECK(times[1] > 0.85);
  CHECK(times[2] < 1.1);
}

TEST(ExpectedDelay, differences_that_chance_explains_are_ignored)
{
  std::vector<UpstreamDemand> demands(10, { 2.0, 5.0, 1.0, true, 40.0, 1.0 });
  demands[0].mRelativeTime = 1.2;
  demands[1].mRelativeTime = 0.8;
  auto const times = ShrunkRelativeTimes(demands);
  DOUBLES_EQUAL(times[0], times[1], 1e-9);
}

TEST(ExpectedDelay, one_request_avoids_the_queue_that_many_requests_outlast)
{
  std::vector<UpstreamDemand> demands(3, { 2.0, 10.0, 0.5, true, 80.0, 1.0 });
  demands[0].mInProgress = 6.0;
  auto const one = EstimateDelays(demands, 1.0);
  auto const many = EstimateDelays(demands, 50.0);
  CHECK(one[0].mDelay > 2.0 * one[1].mDelay);
  CHECK(many[0].mDelay < 1.3 * many[1].mDelay);
}

TEST(ExpectedDelay, the_requests_per_flow_are_a_moving_mean)
{
  RequestsPerFlow requests;
  DOUBLES_EQUAL(1.0, requests.Mean(), 1e-9);
  requests.RecordFlow(6);
  DOUBLES_EQUAL(6.0, requests.Mean(), 1e-9);
  for (int count = 0; count < 100; ++count) {
    requests.RecordFlow(2);
  }
  DOUBLES_EQUAL(2.0, requests.Mean(), 0.1);
}

/// `UpstreamSelector` and `CookieSteering` with the loads of other VMs.
TEST_GROUP_BASE(ExpectedDelaySteering, CookieFixture)
{
  std::shared_ptr<SharedLoads> mShared = std::make_shared<SharedLoads>();

  /// Reports upstreams of the own zone; `a1` answers in a third of the time.
  void Report()
  {
    mShared->mReporters = 16;
    for (auto const& upstream : mSteering.View().mUpstreams) {
      auto& load = mShared->mByProcess[ProcessKey(upstream.mRegistration)];
      bool const isFast = upstream.mRegistration.mName == "a1";
      load = { 10.0, 1.0, 90.0, isFast ? 0.4 : 1.2, mNow };
    }
    mSteering.SetSharedLoads(mShared);
  }

  /// Returns how many of the new flows go to an upstream.
  int CountAt(CookieSteering & aSteering, std::string const& aName, int aFlows)
  {
    int placed = 0;
    for (int count = 0; count < aFlows; ++count) {
      SampleFlow flow(CallerAt(mNextPort++));
      auto const verdict = aSteering.Steer(mNow, flow.Opening());
      placed += UpstreamOf(verdict) == aName ? 1 : 0;
      auto closing = flow.FirstData(verdict.mCookie);
      closing.mCloses = true;
      (void)aSteering.Steer(mNow, closing);
      mNow += milliseconds{ 1 };
    }
    return placed;
  }
};

TEST(ExpectedDelaySteering, a_fast_upstream_gets_most_new_flows)
{
  Report();
  CHECK(CountAt(mSteering, "a1", 300) > 180);
  auto const entries = mSteering.TakeLogEntries();
  CHECK(entries.front().mIsByDelay);
  CHECK(entries.front().mCost > 0.0);
}

TEST(ExpectedDelaySteering, without_fresh_loads_the_decisions_are_the_same)
{
  CookieSteering other(1);
  other.SetView(mStore.View(mNow));
  Report();
  auto const stale = mNow + seconds{ 3 };
  auto const silent = std::make_shared<SharedLoads>(*mShared);
  silent->mReporters = 0;
  for (int count = 0; count < 100; ++count) {
    if (count == 50) {
      mSteering.SetSharedLoads(silent);
    }
    SampleFlow flow(CallerAt(mNextPort++));
    auto const verdict = mSteering.Steer(stale, flow.Opening());
    LONGS_EQUAL(other.Steer(stale, flow.Opening()).mSlot, verdict.mSlot);
    CHECK_FALSE(verdict.mIsByDelay);
  }
}

TEST(ExpectedDelaySteering, it_can_be_switched_off)
{
  CookieSteering off(1, Mechanisms::Without({ "expected_delay" }).Take());
  off.SetView(mStore.View(mNow));
  Report();
  off.SetSharedLoads(mShared);
  auto const placed = CountAt(off, "a1", 300);
  CHECK(placed > 80 && placed < 120);
}

/// Load: the fast upstream is draining, or its registration is missing, or its
/// zone is evacuated.
TEST(ExpectedDelaySteering, a_fast_upstream_does_not_go_before_other_checks)
{
  Report();
  Drain("a1");
  LONGS_EQUAL(0, CountAt(mSteering, "a1", 50));
  Remove("a1");
  Report();
  LONGS_EQUAL(0, CountAt(mSteering, "a1", 50));
  mStore.Evacuate(mNow, "a", true);
  RefreshView();
  LONGS_EQUAL(50, CountAt(mSteering, "b1", 50));
}

/// Load: a fast upstream is cold, and the reports show it idle.
TEST(ExpectedDelaySteering, the_limit_of_a_cold_upstream_holds)
{
  auto cold = SampleUpstream("a9", "a");
  cold.mRemainingColdTime = seconds{ 4 };
  mStore.Register(mNow, cold);
  mStore.TargetDirectory().SetAdmittingVms({ 11 }, 11);
  RefreshView();
  Report();
  auto& load = mShared->mByProcess[ProcessKey(cold)];
  load = { 0.0, 0.0, 90.0, 0.4, mNow };
  auto const placed = CountAt(mSteering, "a9", 900);
  CHECK(placed >= 1);
  // The VM's half of a limit of 8 flows a second.
  CHECK(placed <= 4);
}

/// Load: an upstream answers no opening packet while the reports call it fast.
TEST(ExpectedDelaySteering, a_silent_upstream_is_avoided)
{
  Report();
  int lastPlaced = 0;
  for (int round = 0; round < 4; ++round) {
    lastPlaced = 0;
    for (int count = 0; count < 30; ++count) {
      SampleFlow flow(CallerAt(mNextPort++));
      auto const verdict = mSteering.Steer(mNow, flow.Opening());
      mNow += milliseconds{ 10 };
      if (UpstreamOf(verdict) == "a1") {
        ++lastPlaced;
        continue;
      }
      (void)mSteering.Steer(mNow, flow.FirstData(verdict.mCookie));
    }
  }
  CHECK(lastPlaced <= 3);
}
