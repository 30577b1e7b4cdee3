#include "tarragonsill/coordination/tarragonsill_priority_admission.hpp"

#include "tarragonsill/state/tarragonsill_hash.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tarragonsill {

namespace {

using Seconds = std::chrono::duration<double>;

/// After a longer gap between records, the averages begin anew.
constexpr milliseconds kMaxRecordGap{ 2000 };

/// Unanswered requests per slot at which a shortage begins, ends, and is most
/// severe. One of them is in work; the others wait.
constexpr double kUtilisationAtBegin = 2.5;
constexpr double kUtilisationAtEnd = 1.5;
constexpr double kFullUtilisation = 5.0;
/// Requests that are counted as unanswered may have been answered through
/// another VM. So a shortage begins only if answers take at least this many
/// times as long as usual, and ends when they do not.
constexpr double kRelativeTimeAtBegin = 1.5;
constexpr double kRelativeTimeAtEnd = 1.2;
/// A zone has room if its answers take less than this many times as long as
/// usual; during a shortage, if they take less than the second number.
constexpr double kRelativeTimeWithRoom = 1.3;
constexpr double kRelativeTimeWithRoomAgain = 1.1;
/// A wait below these shares of the latency target does callers no harm.
constexpr double kWaitShareAtBegin = 0.1;
constexpr double kWaitShareAtEnd = 0.05;

/// Without the load from other VMs, a shortage begins when answers come after
/// the latency target, and ends at this share of it.
constexpr double kAnswerShareAtEnd = 0.5;

/// A class with a smaller share of the openings is not present: rejecting
/// others, or the next class, for it would change nothing.
constexpr double kMinPresentShare = 0.05;
/// With fewer openings lately, no class is present.
constexpr double kMinOpenings = 0.1;
/// The half-life of the openings of a class and of what a caller got.
constexpr milliseconds kHalfLife{ 1000 };
/// A caller whose last rejection is older has gone, or is a new one.
constexpr milliseconds kRejectionMemory{ 3000 };
/// Another caller may take over the entry of one that is idle for this time.
constexpr milliseconds kCallerIdleTime{ 500 };
/// By how much a rejection lowers the standing of a caller that comes back.
constexpr double kReturnFactor = 0.25;
/// The debt at which a caller that got nothing is rejected; one that got much
/// more than the others is rejected at a debt lower by 1.
constexpr double kMaxThreshold = 1.5;
constexpr double kMaxDebt = 3.0;

double
DecayOver(Duration aTime)
{
  return std::exp2(-Seconds(aTime) / Seconds(kHalfLife));
}

} // namespace

void
ShortageDetector::Record(TimePoint aNow,
                         ServiceLoad const& aLoad,
                         milliseconds aLatencyTarget)
{
  Smooth(aNow, aLoad);
  if (mIsShared) {
    Judge(aLatencyTarget);
  } else {
    JudgeByOwnAnswers(aLatencyTarget);
  }
}

void
ShortageDetector::Smooth(TimePoint aNow, ServiceLoad const& aLoad)
{
  bool const isNew = aNow >= mLastRecord + kMaxRecordGap;
  if (isNew) {
    *this = {};
  }
  Seconds const elapsed = isNew ? Duration{ 0 } : aNow - mLastRecord;
  auto const weight = 1.0 - std::exp(-elapsed / Seconds(kSmoothingTime));
  mLastRecord = aNow;
  mIsShared = aLoad.mIsShared;
  mUsualTime = aLoad.mUsualTime;
  mUtilisation += weight * (aLoad.mUtilisation - mUtilisation);
  mRelativeTime += weight * (aLoad.mRelativeTime - mRelativeTime);
  mLeastRelativeTime +=
    weight * (aLoad.mLeastRelativeTime - mLeastRelativeTime);
}

void
ShortageDetector::Judge(milliseconds aLatencyTarget)
{
  mWait =
    mUsualTime * std::max({ mUtilisation - 1.0, mRelativeTime - 1.0, 0.0 });
  bool const begins = mUtilisation >= kUtilisationAtBegin &&
                      mRelativeTime >= kRelativeTimeAtBegin &&
                      mLeastRelativeTime >= kRelativeTimeWithRoom &&
                      mWait >= kWaitShareAtBegin * aLatencyTarget;
  bool const ends = mUtilisation < kUtilisationAtEnd ||
                    mRelativeTime < kRelativeTimeAtEnd ||
                    mLeastRelativeTime < kRelativeTimeWithRoomAgain ||
                    mWait < kWaitShareAtEnd * aLatencyTarget;
  mIsShort = mIsShort ? !ends : begins;
  auto const byQueue =
    (mUtilisation - kUtilisationAtEnd) / (kFullUtilisation - kUtilisationAtEnd);
  mSeverity = std::clamp(byQueue, 0.0, 1.0);
}

void
ShortageDetector::JudgeByOwnAnswers(milliseconds aLatencyTarget)
{
  // Judged by the zone that answers soonest.
  mWait = mUsualTime * std::max(mLeastRelativeTime - 1.0, 0.0);
  auto const expected = mUsualTime + mWait;
  mIsShort = mIsShort ? expected >= kAnswerShareAtEnd * aLatencyTarget
                      : expected >= aLatencyTarget;
  auto const excess = expected / Seconds(aLatencyTarget) - kAnswerShareAtEnd;
  mSeverity = std::clamp(excess, 0.0, 1.0);
}

bool
PriorityAdmission::Admit(TimePoint aNow,
                         Opening const& aOpening,
                         double aSeverity)
{
  auto& state = StateOf(aNow, aOpening);
  bool isAdmitted = true;
  if (aSeverity > 0.0) {
    auto& caller = CallerOf(aNow, aOpening);
    auto const share = RejectedShare(aNow, state, aSeverity);
    isAdmitted = !IsToBeRejected(aNow, state, caller, share);
    caller.mAdmitted += isAdmitted ? 1.0 : 0.0;
    if (isAdmitted) {
      caller.mRejectedSince = {};
    } else if (caller.mRejectedSince == TimePoint{}) {
      caller.mRejectedSince = aNow;
    }
    caller.mLastRejection = isAdmitted ? TimePoint{} : aNow;
  }
  ++(isAdmitted ? state.mCounts.mAdmitted : state.mCounts.mRejected);
  return isAdmitted;
}

milliseconds
PriorityAdmission::LatencyTarget(TimePoint aNow) const
{
  milliseconds shortest{ 0 };
  for (auto const& state : mClasses) {
    if (!IsPresent(aNow, state)) {
      continue;
    }
    bool const isFirst = shortest == milliseconds{ 0 };
    shortest =
      isFirst ? state.mLatencyTarget : std::min(shortest, state.mLatencyTarget);
  }
  return shortest;
}

std::vector<AdmissionCounts>
PriorityAdmission::TakeCounts()
{
  std::vector<AdmissionCounts> counts;
  for (auto& state : mClasses) {
    auto const taken = std::exchange(state.mCounts, { state.mClass });
    if (taken.mAdmitted + taken.mRejected > 0) {
      counts.push_back(taken);
    }
  }
  return counts;
}

PriorityAdmission::ClassState&
PriorityAdmission::StateOf(TimePoint aNow, Opening const& aOpening)
{
  auto found = std::lower_bound(mClasses.begin(),
                                mClasses.end(),
                                aOpening.mClass,
                                [](auto const& aState, auto const& aClass) {
                                  return aState.mClass < aClass;
                                });
  bool const isKnown =
    found != mClasses.end() && found->mClass == aOpening.mClass;
  if (!isKnown && mClasses.size() < kMaxClasses) {
    ClassState state;
    state.mClass = aOpening.mClass;
    state.mCounts.mClass = aOpening.mClass;
    found = mClasses.insert(found, state);
  } else if (found == mClasses.end()) {
    found = std::prev(found);
  }
  found->mOpenings = OpeningsOf(aNow, *found) + 1.0;
  found->mLastOpening = aNow;
  found->mLatencyTarget = aOpening.mLatencyTarget;
  return *found;
}

bool
PriorityAdmission::IsPresent(TimePoint aNow, ClassState const& aState) const
{
  double all = 0.0;
  for (auto const& state : mClasses) {
    all += OpeningsOf(aNow, state);
  }
  return all >= kMinOpenings &&
         OpeningsOf(aNow, aState) >= kMinPresentShare * all;
}

double
PriorityAdmission::OpeningsOf(TimePoint aNow, ClassState const& aState)
{
  return aState.mOpenings * DecayOver(aNow - aState.mLastOpening);
}

double
PriorityAdmission::RejectedShare(TimePoint aNow,
                                 ClassState const& aState,
                                 double aSeverity) const
{
  // The highest class that is present is never rejected, nor what is above it.
  double rejectable = 0.0;
  double lower = 0.0;
  bool isBelowHighest = false;
  bool isRejectable = false;
  for (auto const& state : mClasses) {
    auto const openings = OpeningsOf(aNow, state);
    if (isBelowHighest) {
      rejectable += openings;
      isRejectable = isRejectable || state.mClass == aState.mClass;
      lower += aState.mClass < state.mClass ? openings : 0.0;
    }
    isBelowHighest = isBelowHighest || IsPresent(aNow, state);
  }
  if (!isRejectable) {
    return 0.0;
  }
  // Lower classes are rejected before higher ones.
  auto const rest = aSeverity * rejectable - lower;
  return std::clamp(rest / OpeningsOf(aNow, aState), 0.0, 1.0);
}

PriorityAdmission::CallerState&
PriorityAdmission::CallerOf(TimePoint aNow, Opening const& aOpening)
{
  mCallers.resize(kCallerEntries);
  auto const& admissionClass = aOpening.mClass;
  auto const hash =
    MixHash(MixHash(aOpening.mCaller.mValue, admissionClass.mPriority),
            static_cast<std::uint64_t>(admissionClass.mKind));
  auto& caller = mCallers[hash % kCallerEntries];
  bool const isOther = caller.mHash != hash;
  if (isOther && aNow >= caller.mLastOpening + kCallerIdleTime) {
    caller = {};
    caller.mHash = hash;
    caller.mClass = admissionClass;
  }
  caller.mAdmitted *= DecayOver(aNow - caller.mLastOpening);
  caller.mLastOpening = aNow;
  if (aNow >= caller.mLastRejection + kRejectionMemory) {
    caller.mRejectedSince = {};
  }
  return caller;
}

double
PriorityAdmission::MeanAdmitted(TimePoint aNow, AdmissionClass aClass) const
{
  double total = 0.0;
  double callers = 0.0;
  for (auto const& caller : mCallers) {
    bool const isActive =
      caller.mClass == aClass && aNow < caller.mLastOpening + kRejectionMemory;
    if (!isActive) {
      continue;
    }
    total += caller.mAdmitted * DecayOver(aNow - caller.mLastOpening);
    callers += 1.0;
  }
  return callers > 0.0 ? total / callers : 0.0;
}

bool
PriorityAdmission::IsToBeRejected(TimePoint aNow,
                                  ClassState& aState,
                                  CallerState const& aCaller,
                                  double aShare) const
{
  bool const wasRejected = aCaller.mRejectedSince != TimePoint{};
  auto const maxRejection = kMaxRejectionTargets * aState.mLatencyTarget;
  if (aShare == 0.0 ||
      (wasRejected && aNow >= aCaller.mRejectedSince + maxRejection)) {
    return false;
  }
  if (aShare == 1.0) {
    return true;
  }
  aState.mDebt = std::min(aState.mDebt + aShare, kMaxDebt);
  auto const mean = MeanAdmitted(aNow, aState.mClass);
  auto const total = aCaller.mAdmitted + mean;
  // What the caller got, relative to the others: 0.5 is usual, 1 much more.
  auto standing = total > 0.0 ? aCaller.mAdmitted / total : 0.5;
  standing *= wasRejected && aCaller.mAdmitted <= mean ? kReturnFactor : 1.0;
  if (aState.mDebt < kMaxThreshold - standing) {
    return false;
  }
  aState.mDebt -= 1.0;
  return true;
}

} // namespace tarragonsill
