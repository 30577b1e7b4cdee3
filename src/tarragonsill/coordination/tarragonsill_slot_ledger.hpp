#ifndef TARRAGONSILL_SLOT_LEDGER_HPP_INCLUDED
#define TARRAGONSILL_SLOT_LEDGER_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_admission_lease.hpp"
#include "tarragonsill/state/tarragonsill_cold_start.hpp"
#include "tarragonsill/state/tarragonsill_configuration.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <map>
#include <vector>

/// The admission owner's account of the calls in progress at its upstreams.
namespace tarragonsill {

enum class SlotAdmission : std::uint8_t
{
  Admitted,
  NoLease,
  NoSlot,
  Cold,
  NotServing, ///< Drained, or its zone is out.
};

class SlotLedger
{
public:
  struct Options
  {
    /// No call runs longer than this.
    milliseconds mMaxCallTime{ 10000 };
    /// How long an upstream may take to notice a cancellation.
    milliseconds mCancelGrace{ 500 };
  };

  explicit SlotLedger(Options aOptions)
    : mOptions(aOptions)
  {
  }

  /// Takes the upstreams and the rights held at present into use.
  void Apply(TimePoint aNow,
             Configuration const& aConfiguration,
             AdmissionLeases const& aLeases);

  /// Admits a call if there is a slot. The last slot of an upstream is kept
  /// for calls of priority 0, so that under load the others are shed first.
  SlotAdmission Admit(TimePoint aNow,
                      Endpoint aUpstream,
                      std::uint32_t aPriority);
  /// Frees the slot of a call that ended with an answer.
  void Answered(Endpoint aUpstream);
  /// Frees the slot of a call that the upstream refused; it is warming up or
  /// overloaded, so its limit starts over.
  void Refused(Endpoint aUpstream);
  /// Frees the slot of a call that was never handed over.
  void Unsent(Endpoint aUpstream);
  /// Keeps the slot of a call that ended without an answer until the upstream
  /// has surely noticed the cancellation.
  void Cancelled(TimePoint aNow, Endpoint aUpstream);

  /// Slots in use, with those kept after a cancellation.
  std::uint32_t Used(TimePoint aNow, Endpoint aUpstream);

private:
  struct Account
  {
    WorkLimit mLimit;
    ColdStart mColdStart{ 1, 1, 1 };
    bool mServing = false;
    TimePoint mUntil{};
    std::uint64_t mTerm = 0;
    std::uint32_t mInProgress = 0;
    /// Ends of the time for which a slot counts as used without a call here.
    std::vector<TimePoint> mHeld;
  };

  void Free(Endpoint aUpstream, bool aAnswered);
  static void TurnCold(Account& aAccount);
  static void ExpireHeld(TimePoint aNow, Account& aAccount);

  Options mOptions;
  std::map<Endpoint, Account> mAccounts;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_SLOT_LEDGER_HPP_INCLUDED
