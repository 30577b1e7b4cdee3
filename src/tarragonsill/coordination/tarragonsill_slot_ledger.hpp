#ifndef TARRAGONSILL_SLOT_LEDGER_HPP_INCLUDED
#define TARRAGONSILL_SLOT_LEDGER_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_admission_lease.hpp"
#include "tarragonsill/state/tarragonsill_cold_start.hpp"
#include "tarragonsill/state/tarragonsill_configuration.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <map>
#include <vector>

/// The admission owner's count of the calls in progress at its upstreams.
namespace tarragonsill {

enum class SlotAdmission : std::uint8_t
{
  Admitted,
  NoLease,
  NoSlot,
  Cold,
  NotServing, ///< Unknown or draining, or its zone is out.
};

class SlotLedger
{
public:
  struct Options
  {
    /// Max duration of a call.
    milliseconds mMaxCallTime{ 10000 };
    /// Max time that an upstream takes to process a cancellation.
    milliseconds mCancelGrace{ 500 };
  };

  explicit SlotLedger(Options aOptions)
    : mOptions(aOptions)
  {
  }

  /// Installs the upstreams and the admission leases that this VM currently
  /// holds.
  void Apply(TimePoint aNow,
             Configuration const& aConfiguration,
             AdmissionLeases const& aLeases);

  /// Admits a call if there is a slot. The last slot of an upstream is
  /// reserved for calls of priority 0, so that under load the others are shed
  /// first.
  SlotAdmission Admit(TimePoint aNow,
                      Endpoint aUpstream,
                      std::uint32_t aPriority);
  /// Frees the slot of a call that ended with an answer.
  void Answered(Endpoint aUpstream);
  /// Frees the slot of a call that the upstream refused. The upstream is cold
  /// or overloaded, so its ramp-up starts over.
  void Refused(Endpoint aUpstream);
  /// Frees the slot of a call that was never sent to the upstream.
  void Unsent(Endpoint aUpstream);
  /// Keeps the slot of a call that ended without an answer until the upstream
  /// has certainly processed the cancellation.
  void Cancelled(TimePoint aNow, Endpoint aUpstream);

  /// Slots in use, including those reserved after a cancellation or for calls
  /// of an earlier owner.
  std::uint32_t Used(TimePoint aNow, Endpoint aUpstream);

private:
  struct UpstreamWork
  {
    WorkLimit mLimit;
    ColdStart mColdStart{ 1, 1, 1 };
    bool mServing = false;
    TimePoint mLeaseUntil{};
    std::uint64_t mTerm = 0;
    std::uint32_t mInProgress = 0;
    /// Expiry times of slots that are reserved without a call in progress here.
    std::vector<TimePoint> mReservedUntil;
  };

  void Release(Endpoint aUpstream, bool aAnswered);
  static void RestartColdStart(UpstreamWork& aWork);
  static void ExpireReservations(TimePoint aNow, UpstreamWork& aWork);

  Options mOptions;
  std::map<Endpoint, UpstreamWork> mWorkByUpstream;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_SLOT_LEDGER_HPP_INCLUDED
