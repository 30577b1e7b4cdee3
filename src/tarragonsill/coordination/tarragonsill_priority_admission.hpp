#ifndef TARRAGONSILL_PRIORITY_ADMISSION_HPP_INCLUDED
#define TARRAGONSILL_PRIORITY_ADMISSION_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_address.hpp"
#include "tarragonsill/state/tarragonsill_routing.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

/// Decides which new flows a service gets while its upstreams cannot serve all
/// that arrive: by priority, then by a fair share for each caller address.
namespace tarragonsill {

/// The load on the upstreams in reach of a service.
struct ServiceLoad
{
  /// Unanswered requests per slot, over all zones.
  double mUtilisation = 0.0;
  /// How long requests take, relative to their usual time.
  double mRelativeTime = 1.0;
  /// The same of the zone that answers soonest, 1 if answers of a zone are
  /// unknown.
  double mLeastRelativeTime = 1.0;
  /// How long requests of the service usually take.
  std::chrono::duration<double> mUsualTime{ 0 };
  /// Whether the load from other VMs is included. Without it, `mUtilisation` is
  /// not used.
  bool mIsShared = false;
};

/// Detects that the upstreams of a service cannot serve what arrives.
class ShortageDetector
{
public:
  /// The time constant of the moving average. A burst of a tenth of a second is
  /// no shortage.
  static constexpr milliseconds kSmoothingTime{ 500 };

  /// Records the current load; must be called several times a second.
  /// `aLatencyTarget` is the shortest one of the callers.
  void Record(TimePoint aNow,
              ServiceLoad const& aLoad,
              milliseconds aLatencyTarget);
  bool IsShort() const { return mIsShort; }
  /// How severe the shortage is: 0 without one, 1 at most.
  double Severity() const { return mIsShort ? mSeverity : 0.0; }
  /// Moving averages.
  double Utilisation() const { return mUtilisation; }
  std::chrono::duration<double> ExpectedWait() const { return mWait; }

private:
  void Smooth(TimePoint aNow, ServiceLoad const& aLoad);
  void Judge(milliseconds aLatencyTarget);
  void JudgeByOwnAnswers(milliseconds aLatencyTarget);

  bool mIsShort = false;
  bool mIsShared = false;
  double mSeverity = 0.0;
  double mUtilisation = 0.0;
  double mRelativeTime = 1.0;
  double mLeastRelativeTime = 1.0;
  std::chrono::duration<double> mUsualTime{ 0 };
  std::chrono::duration<double> mWait{ 0 };
  TimePoint mLastRecord{};
};

/// The rank of a route's requests during a shortage; lower ones go first.
struct AdmissionClass
{
  std::uint32_t mPriority = 0; ///< 0 is the highest.
  /// Requests that may run only once go first, as their callers cannot repeat
  /// them after a failure.
  RequestKind mKind = RequestKind::NotIdempotent;

  friend bool operator==(AdmissionClass const&,
                         AdmissionClass const&) = default;
  friend bool operator<(AdmissionClass const& aLeft,
                        AdmissionClass const& aRight)
  {
    return aLeft.Rank() < aRight.Rank();
  }

private:
  std::uint64_t Rank() const
  {
    return 2 * std::uint64_t{ mPriority } +
           (mKind == RequestKind::NotIdempotent ? 0 : 1);
  }
};

/// The first packet of a flow.
struct Opening
{
  AdmissionClass mClass;
  Ipv4Address mCaller;
  milliseconds mLatencyTarget{ 500 };
};

/// The openings of one class since the last call of `TakeCounts`.
struct AdmissionCounts
{
  AdmissionClass mClass;
  std::uint32_t mAdmitted = 0;
  std::uint32_t mRejected = 0;
};

/// Decides which openings of one service are admitted.
class PriorityAdmission
{
public:
  /// Of two callers that share an entry, the later one takes it over once the
  /// earlier one is idle; until then they are treated as one.
  static constexpr std::size_t kCallerEntries = 512;
  /// Further classes are treated as the lowest known one.
  static constexpr std::size_t kMaxClasses = 8;
  /// A caller is admitted after it was rejected for this many times its latency
  /// target.
  static constexpr int kMaxRejectionTargets = 2;

  /// Decides about an opening. `aSeverity` is that of the shortage, 0 if there
  /// is none. Nothing is rejected while only one class is present: its requests
  /// can as well wait at the upstreams.
  bool Admit(TimePoint aNow, Opening const& aOpening, double aSeverity);
  /// The shortest latency target of the classes present; 0 if there are none.
  milliseconds LatencyTarget(TimePoint aNow) const;
  /// Returns the classes with openings since the last call.
  std::vector<AdmissionCounts> TakeCounts();
  /// Forgets what callers got, when a shortage has ended.
  void ForgetCallers() { mCallers.clear(); }

private:
  struct ClassState
  {
    AdmissionClass mClass;
    milliseconds mLatencyTarget{ 0 };
    double mOpenings = 0.0; ///< Lately, decaying.
    TimePoint mLastOpening{};
    /// Openings to be rejected to reach the share of the class.
    double mDebt = 0.0;
    AdmissionCounts mCounts;
  };
  struct CallerState
  {
    std::uint64_t mHash = 0; ///< Of the address and the class.
    AdmissionClass mClass;
    double mAdmitted = 0.0; ///< Admitted openings, decaying.
    TimePoint mLastOpening{};
    /// Since when all of the caller's openings have been rejected.
    TimePoint mRejectedSince{};
    TimePoint mLastRejection{};
  };

  ClassState& StateOf(TimePoint aNow, Opening const& aOpening);
  /// Whether a class has a considerable share of the openings.
  bool IsPresent(TimePoint aNow, ClassState const& aState) const;
  /// The openings of a class lately.
  static double OpeningsOf(TimePoint aNow, ClassState const& aState);
  /// The share of a class's openings to reject.
  double RejectedShare(TimePoint aNow,
                       ClassState const& aState,
                       double aSeverity) const;
  CallerState& CallerOf(TimePoint aNow, Opening const& aOpening);
  /// What the callers of a class got lately, on average.
  double MeanAdmitted(TimePoint aNow, AdmissionClass aClass) const;
  /// Whether an opening is among those of its class to be rejected.
  bool IsToBeRejected(TimePoint aNow,
                      ClassState& aState,
                      CallerState const& aCaller,
                      double aShare) const;

  std::vector<ClassState> mClasses; ///< Highest first.
  /// By hash; empty without a shortage.
  std::vector<CallerState> mCallers;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_PRIORITY_ADMISSION_HPP_INCLUDED
