#include "tarragonsill_test.hpp"

#include "tarragonsill/coordination/tarragonsill_priority_admission.hpp"

#include <deque>
#include <map>

using namespace tarragonsill;

namespace {

constexpr TimePoint kStart{ seconds{ 100 } };
constexpr milliseconds kTarget{ 500 };
constexpr AdmissionClass kUrgent{ 1, RequestKind::NotIdempotent };
constexpr AdmissionClass kOrdinary{ 2, RequestKind::Idempotent };

Opening
OpeningOf(AdmissionClass aClass, std::uint32_t aCaller)
{
  return { aClass, Ipv4Address{ aCaller }, kTarget };
}

ServiceLoad
LoadAt(double aUtilisation)
{
  ServiceLoad load;
  load.mUtilisation = aUtilisation;
  load.mRelativeTime = aUtilisation;
  load.mLeastRelativeTime = aUtilisation;
  load.mUsualTime = milliseconds{ 50 };
  load.mIsShared = true;
  return load;
}

} // namespace

TEST_GROUP(ShortageDetector)
{
  ShortageDetector mDetector;
  TimePoint mNow = kStart;

  void RecordFor(milliseconds aTime, ServiceLoad const& aLoad)
  {
    for (auto const end = mNow + aTime; mNow < end;) {
      mNow += milliseconds{ 100 };
      mDetector.Record(mNow, aLoad, kTarget);
    }
  }
};

TEST(ShortageDetector, lasting_queues_at_all_upstreams_are_a_shortage)
{
  RecordFor(seconds{ 2 }, LoadAt(1.0));
  CHECK_FALSE(mDetector.IsShort());
  RecordFor(seconds{ 2 }, LoadAt(4.0));
  CHECK(mDetector.IsShort());
  CHECK(mDetector.Severity() > 0.5);
}

TEST(ShortageDetector, a_burst_of_a_tenth_of_a_second_is_no_shortage)
{
  RecordFor(seconds{ 2 }, LoadAt(1.0));
  RecordFor(milliseconds{ 100 }, LoadAt(5.0));
  CHECK_FALSE(mDetector.IsShort());
}

TEST(ShortageDetector, a_shortage_ends_at_less_load_than_it_begins)
{
  RecordFor(seconds{ 3 }, LoadAt(2.0));
  CHECK_FALSE(mDetector.IsShort());
  RecordFor(seconds{ 3 }, LoadAt(4.0));
  RecordFor(seconds{ 3 }, LoadAt(2.0));
  CHECK(mDetector.IsShort());
  RecordFor(seconds{ 3 }, LoadAt(1.0));
  CHECK_FALSE(mDetector.IsShort());
  DOUBLES_EQUAL(0.0, mDetector.Severity(), 0.0);
}

/// Guards against requests that count as unanswered after their flows went on
/// through other VMs.
TEST(ShortageDetector, prompt_answers_disprove_a_shortage)
{
  auto load = LoadAt(5.0);
  load.mRelativeTime = 1.1;
  load.mLeastRelativeTime = 1.1;
  RecordFor(seconds{ 3 }, load);
  CHECK_FALSE(mDetector.IsShort());
  RecordFor(seconds{ 3 }, LoadAt(5.0));
  CHECK(mDetector.IsShort());
  RecordFor(seconds{ 3 }, load);
  CHECK_FALSE(mDetector.IsShort());
}

TEST(ShortageDetector, a_zone_that_answers_as_usual_has_room)
{
  auto load = LoadAt(5.0);
  load.mLeastRelativeTime = 1.0;
  RecordFor(seconds{ 3 }, load);
  CHECK_FALSE(mDetector.IsShort());
  RecordFor(seconds{ 3 }, LoadAt(5.0));
  CHECK(mDetector.IsShort());
  RecordFor(seconds{ 3 }, load);
  CHECK_FALSE(mDetector.IsShort());
}

/// Guards against a shortage that ends and begins by turns while the answers of
/// one zone are a little late.
TEST(ShortageDetector, a_zone_whose_answers_vary_does_not_end_a_shortage)
{
  RecordFor(seconds{ 2 }, LoadAt(4.0));
  auto varying = LoadAt(4.0);
  for (int count = 0; count < 10; ++count) {
    varying.mLeastRelativeTime = count % 2 == 0 ? 1.15 : 1.35;
    RecordFor(milliseconds{ 800 }, varying);
    CHECK(mDetector.IsShort());
  }
}

/// Short requests are answered in time from a long queue too.
TEST(ShortageDetector, a_wait_that_callers_do_not_notice_is_no_shortage)
{
  auto load = LoadAt(5.0);
  load.mUsualTime = milliseconds{ 5 };
  RecordFor(seconds{ 3 }, load);
  CHECK_FALSE(mDetector.IsShort());
}

TEST(ShortageDetector, without_reports_only_requests_in_vain_are_a_shortage)
{
  auto load = LoadAt(5.0);
  load.mIsShared = false;
  RecordFor(seconds{ 3 }, load);
  CHECK_FALSE(mDetector.IsShort());
  load.mLeastRelativeTime = 12.0; // 600 ms, after the latency target.
  RecordFor(seconds{ 3 }, load);
  CHECK(mDetector.IsShort());
}

TEST_GROUP(PriorityAdmission)
{
  PriorityAdmission mAdmission;
  TimePoint mNow = kStart;
  std::uint32_t mNextCaller = 1;

  bool Admit(AdmissionClass aClass, std::uint32_t aCaller, double aSeverity)
  {
    mNow += milliseconds{ 5 };
    return mAdmission.Admit(mNow, OpeningOf(aClass, aCaller), aSeverity);
  }

  /// Returns the share of 200 openings from as many callers that is admitted,
  /// while both classes are present.
  double AdmittedShare(AdmissionClass aClass, double aSeverity)
  {
    int admitted = 0;
    for (int count = 0; count < 200; ++count) {
      (void)Admit(kUrgent, mNextCaller++, 0.0);
      (void)Admit(kOrdinary, mNextCaller++, 0.0);
      admitted += Admit(aClass, mNextCaller++, aSeverity) ? 1 : 0;
    }
    return admitted / 200.0;
  }
};

TEST(PriorityAdmission, nothing_is_rejected_without_a_shortage)
{
  DOUBLES_EQUAL(1.0, AdmittedShare(kOrdinary, 0.0), 0.0);
}

TEST(PriorityAdmission, the_highest_class_is_admitted_however_severe_it_is)
{
  DOUBLES_EQUAL(1.0, AdmittedShare(kUrgent, 1.0), 0.0);
}

TEST(PriorityAdmission, the_share_rejected_rises_with_the_shortage)
{
  auto const mild = AdmittedShare(kOrdinary, 0.2);
  auto const severe = AdmittedShare(kOrdinary, 0.7);
  DOUBLES_EQUAL(0.8, mild, 0.05);
  DOUBLES_EQUAL(0.3, severe, 0.05);
  DOUBLES_EQUAL(0.0, AdmittedShare(kOrdinary, 1.0), 0.0);
}

TEST(PriorityAdmission, a_class_is_rejected_only_after_all_lower_ones)
{
  constexpr AdmissionClass kLowest{ 3, RequestKind::Idempotent };
  for (int count = 0; count < 100; ++count) {
    CHECK(Admit(kUrgent, mNextCaller++, 0.4));
    CHECK(Admit(kOrdinary, mNextCaller++, 0.4));
    (void)Admit(kLowest, mNextCaller++, 0.4);
  }
  auto const counts = mAdmission.TakeCounts();
  CHECK(counts.back().mClass == kLowest);
  CHECK(counts.back().mRejected > 60);
  CHECK(mAdmission.TakeCounts().empty());
}

TEST(PriorityAdmission, requests_that_may_run_once_go_before_repeatable_ones)
{
  constexpr AdmissionClass kOnce{ 2, RequestKind::NotIdempotent };
  int rejected = 0;
  for (int count = 0; count < 100; ++count) {
    CHECK(Admit(kOnce, mNextCaller++, 0.8));
    rejected += Admit(kOrdinary, mNextCaller++, 0.8) ? 0 : 1;
  }
  CHECK(rejected > 70);
}

/// With one class, its requests can as well wait at the upstreams.
TEST(PriorityAdmission, a_class_that_is_alone_is_not_rejected)
{
  CHECK(Admit(kUrgent, mNextCaller++, 0.0));
  mNow += seconds{ 10 };
  for (int count = 0; count < 100; ++count) {
    CHECK(Admit(kOrdinary, mNextCaller++, 1.0));
  }
}

TEST(PriorityAdmission, a_caller_that_asks_for_most_does_not_crowd_out_others)
{
  constexpr std::uint32_t kGreedy = 1;
  std::map<bool, std::array<int, 2>> openings;
  for (int count = 0; count < 400; ++count) {
    (void)Admit(kUrgent, 0, 0.5);
    bool const isGreedy = count % 5 != 0;
    auto const caller = isGreedy ? kGreedy : 2 + (count / 5) % 20;
    ++openings[isGreedy][Admit(kOrdinary, caller, 0.5) ? 1 : 0];
  }
  auto const admittedShare = [&](bool aIsGreedy) {
    auto const [rejected, admitted] = openings[aIsGreedy];
    return static_cast<double>(admitted) / (rejected + admitted);
  };
  CHECK(admittedShare(false) > 1.5 * admittedShare(true));
}

TEST(PriorityAdmission, a_caller_that_comes_back_goes_before_a_new_one)
{
  int admittedAgain = 0;
  int admittedFirst = 0;
  for (int count = 0; count < 200; ++count) {
    (void)Admit(kUrgent, 0, 0.5);
    auto const caller = mNextCaller++;
    if (Admit(kOrdinary, caller, 0.5)) {
      ++admittedFirst;
      continue;
    }
    admittedAgain += Admit(kOrdinary, caller, 0.5) ? 1 : 0;
  }
  auto const returned = 200 - admittedFirst;
  CHECK(admittedAgain * 200 > admittedFirst * returned);
}

TEST(PriorityAdmission, no_caller_is_rejected_for_longer_than_the_bound)
{
  constexpr std::uint32_t kCallerAddress = 7;
  auto const bound = PriorityAdmission::kMaxRejectionTargets * kTarget;
  std::deque<TimePoint> admitted = { mNow };
  while (mNow < kStart + seconds{ 10 }) {
    (void)Admit(kUrgent, 0, 1.0);
    if (Admit(kOrdinary, kCallerAddress, 1.0)) {
      CHECK(mNow <= admitted.back() + bound + milliseconds{ 20 });
      admitted.push_back(mNow);
    }
  }
  CHECK(admitted.size() >= 9);
}

/// Callers beyond the fixed number of entries share them.
TEST(PriorityAdmission, any_number_of_callers_is_served_by_a_fixed_table)
{
  for (std::uint32_t caller = 0; caller < 20000; ++caller) {
    (void)Admit(kUrgent, 0, 0.5);
    (void)Admit(kOrdinary, caller, 0.5);
  }
  for (auto const& counts : mAdmission.TakeCounts()) {
    if (counts.mClass == kOrdinary) {
      DOUBLES_EQUAL(10000.0, counts.mRejected, 1000.0);
    }
  }
}

namespace {

/// Upstreams with a bounded queue, and callers that repeat at once, twice at
/// most, what was rejected.
class SampleCrowd
{
public:
  static constexpr milliseconds kStep{ 5 };

  /// The openings of one class over a run.
  struct Outcome
  {
    int mAsked = 0;
    int mServed = 0;
    int mRejected = 0; ///< Each try.
  };

  explicit SampleCrowd(bool aUsesAdmission)
    : mUsesAdmission(aUsesAdmission)
  {
  }

  /// Lets callers ask at the given rates for some time.
  void Run(milliseconds aTime, double aUrgentRate, double aOrdinaryRate)
  {
    for (auto const end = mNow + aTime; mNow < end; mNow += kStep) {
      Step(aUrgentRate, aOrdinaryRate);
    }
  }
  Outcome const& Urgent() const { return mOutcomes[0]; }
  Outcome const& Ordinary() const { return mOutcomes[1]; }
  bool IsShort() const { return mDetector.IsShort(); }
  /// How often a shortage began.
  int Shortages() const { return mShortages; }

private:
  static constexpr double kSlots = 40;
  static constexpr double kWorkSeconds = 0.05;
  static constexpr double kMaxPerSlot = 5;
  /// The age of the load that VMs report.
  static constexpr std::size_t kReportDelaySteps = 60;

  void Step(double aUrgentRate, double aOrdinaryRate)
  {
    auto const stepSeconds = std::chrono::duration<double>(kStep).count();
    auto const capacity = kSlots * stepSeconds / kWorkSeconds;
    mQueue -= std::min(mQueue, capacity);
    mReports.push_back(mQueue / kSlots);
    if (mReports.size() > kReportDelaySteps) {
      mReports.pop_front();
    }
    if ((mNow - kStart) % milliseconds{ 100 } == milliseconds{ 0 }) {
      bool const wasShort = mDetector.IsShort();
      mDetector.Record(mNow, LoadAt(std::max(1.0, mReports.front())), kTarget);
      mShortages += mDetector.IsShort() && !wasShort ? 1 : 0;
    }
    mDue[0] += aUrgentRate * stepSeconds;
    mDue[1] += aOrdinaryRate * stepSeconds;
    for (auto const& [index, caller, tries] : std::exchange(mReturning, {})) {
      Ask(index, caller, tries);
    }
    // The two kinds of callers come by turns.
    while (mDue[0] >= 1.0 || mDue[1] >= 1.0) {
      for (std::size_t const index : { 1, 0 }) {
        if (mDue[index] >= 1.0) {
          mDue[index] -= 1.0;
          ++mOutcomes[index].mAsked;
          Ask(index, ++mCallers % 200, 1);
        }
      }
    }
  }

  void Ask(std::size_t aIndex, std::uint32_t aCaller, int aTries)
  {
    constexpr int kMaxTries = 3;
    auto const severity = mUsesAdmission ? mDetector.Severity() : 0.0;
    auto const opening = OpeningOf(aIndex == 0 ? kUrgent : kOrdinary, aCaller);
    bool const isAdmitted = mAdmission.Admit(mNow, opening, severity);
    auto& outcome = mOutcomes[aIndex];
    outcome.mRejected += isAdmitted ? 0 : 1;
    if (isAdmitted && mQueue < kSlots * kMaxPerSlot) {
      mQueue += 1.0;
      ++outcome.mServed;
    } else if (aTries < kMaxTries) {
      mReturning.push_back({ aIndex, aCaller, aTries + 1 });
    }
  }

  /// A caller that repeats its request in the next step.
  struct Returning
  {
    std::size_t mIndex = 0;
    std::uint32_t mCaller = 0;
    int mTries = 0;
  };

  bool mUsesAdmission;
  TimePoint mNow = kStart;
  double mQueue = 0.0; ///< Requests at the upstreams.
  std::deque<double> mReports;
  ShortageDetector mDetector;
  PriorityAdmission mAdmission;
  std::vector<Returning> mReturning;
  std::array<double, 2> mDue{};
  std::array<Outcome, 2> mOutcomes{};
  std::uint32_t mCallers = 0;
  int mShortages = 0;
};

} // namespace

/// Crowds of callers at upstreams that answer 800 requests a second.
TEST_GROUP(PriorityAdmissionInCrowds){};

TEST(PriorityAdmissionInCrowds, urgent_requests_are_served_in_a_crowd_of_others)
{
  SampleCrowd without(false);
  SampleCrowd with(true);
  for (auto* crowd : { &without, &with }) {
    crowd->Run(seconds{ 2 }, 200.0, 300.0);
    crowd->Run(seconds{ 3 }, 200.0, 1500.0);
  }
  CHECK(with.Urgent().mServed > without.Urgent().mServed);
  CHECK(with.Urgent().mServed >= 0.95 * with.Urgent().mAsked);
  // The upstreams are kept as busy as before.
  auto const served = [](SampleCrowd const& aCrowd) {
    return aCrowd.Urgent().mServed + aCrowd.Ordinary().mServed;
  };
  CHECK(served(with) >= 0.95 * served(without));
}

/// Callers that were turned away and repeat at once bring no second crowd.
TEST(PriorityAdmissionInCrowds, a_crowd_that_repeats_brings_no_swinging)
{
  SampleCrowd crowd(true);
  crowd.Run(seconds{ 2 }, 200.0, 300.0);
  LONGS_EQUAL(0, crowd.Ordinary().mRejected);
  crowd.Run(seconds{ 3 }, 200.0, 1500.0);
  CHECK(crowd.IsShort());
  LONGS_EQUAL(0, crowd.Urgent().mRejected);
  crowd.Run(seconds{ 2 }, 200.0, 300.0);
  CHECK_FALSE(crowd.IsShort());
  LONGS_EQUAL(1, crowd.Shortages());
  auto const before = crowd.Ordinary();
  crowd.Run(seconds{ 3 }, 200.0, 300.0);
  LONGS_EQUAL(before.mRejected, crowd.Ordinary().mRejected);
  LONGS_EQUAL(before.mAsked - before.mServed,
              crowd.Ordinary().mAsked - crowd.Ordinary().mServed);
}
