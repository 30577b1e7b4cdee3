#ifndef TARRAGONSILL_LAB_SOAK_PLAN_HPP_INCLUDED
#define TARRAGONSILL_LAB_SOAK_PLAN_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// The faults of a soak, chosen at random from one seed. Faults may overlap.
namespace tarragonsill::Lab {

enum class SoakFaultKind : std::uint8_t
{
  KillVm,
  KillAllVms,
  StopVm, ///< SIGTERM; the VM is restarted once it has exited.
  PauseVm,
  ReloadVm, ///< SIGHUP.
  StoreDown,
  StoreForgets, ///< The store drops its event history.
  StoreDelayed, ///< This and the next four affect one VM's connections.
  StoreSilent,
  StoreOneWay,
  StoreReset,
  StoreRefuses,
  CrashUpstream,
  DrainUpstream, ///< The upstream stops later and is replaced by a new one.
  ToggleRoute,
  EvacuateZone,
  StoreRollback, ///< The store is restored from an older copy.
  /// The upstream stands still and keeps its flows. Its registration may lapse
  /// meanwhile.
  SuspendUpstream,
  Count,
};

std::string_view ToText(SoakFaultKind aKind);
/// Returns no value for an unknown name.
std::optional<SoakFaultKind> ParseSoakFaultKind(std::string_view aName);
/// The names of all kinds.
std::vector<std::string> SoakFaultNames();

struct SoakFault
{
  SoakFaultKind mKind = SoakFaultKind::KillVm;
  milliseconds mAt{ 0 }; ///< Relative to the start of the fault phase.
  milliseconds mDuration{ 0 };
  /// Index of a VM, upstream or zone, modulo their number.
  std::uint32_t mTarget = 0;
};

/// Selects the kinds of faults that a soak injects.
struct SoakFaultFilter
{
  std::set<SoakFaultKind> mOnly; ///< Empty selects all kinds.
  std::set<SoakFaultKind> mWithout;

  bool Includes(SoakFaultKind aKind) const;
};

/// Returns the faults of a soak in order of time. For a given seed, faults of a
/// kind occur at the same times no matter which other kinds are filtered out.
std::vector<SoakFault> MakeSoakPlan(std::uint64_t aSeed,
                                    milliseconds aLength,
                                    SoakFaultFilter const& aFilter);

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_SOAK_PLAN_HPP_INCLUDED
