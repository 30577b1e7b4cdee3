#ifndef TARRAGONSILL_LAB_SOAK_PLAN_HPP_INCLUDED
#define TARRAGONSILL_LAB_SOAK_PLAN_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// The faults of a soak, drawn from one seed: in series and overlapping.
namespace tarragonsill::Lab {

enum class SoakFaultKind : std::uint8_t
{
  KillVm,
  KillAllVms,
  StopVm, ///< SIGTERM; it starts again after its end.
  PauseVm,
  ReloadVm, ///< SIGHUP.
  StoreDown,
  StoreForgets,
  StoreDelayed, ///< For one VM, as the next four.
  StoreSilent,
  StoreOneWay,
  StoreReset,
  StoreRefuses,
  CrashUpstream,
  DrainUpstream, ///< It ends some time after, and another one starts.
  ToggleRoute,
  EvacuateZone,
  StoreRollback, ///< The store comes back from an older copy.
  Count,
};

std::string_view ToText(SoakFaultKind aKind);
/// Nothing for a name that no kind has.
std::optional<SoakFaultKind> ParseSoakFaultKind(std::string_view aName);
/// The names of all kinds.
std::vector<std::string> SoakFaultNames();

struct SoakFault
{
  SoakFaultKind mKind = SoakFaultKind::KillVm;
  milliseconds mAt{ 0 }; ///< From the start of the faults.
  milliseconds mDuration{ 0 };
  std::uint32_t mTarget = 0; ///< Counts VMs, upstreams or zones, modulo.
};

/// Which kinds of faults a soak plays.
struct SoakFaultFilter
{
  std::set<SoakFaultKind> mOnly; ///< Empty: all.
  std::set<SoakFaultKind> mWithout;

  bool Includes(SoakFaultKind aKind) const;
};

/// Faults within a time, by time. Of one seed each kind comes at the same times
/// whichever others are left out.
std::vector<SoakFault> MakeSoakPlan(std::uint64_t aSeed,
                                    milliseconds aLength,
                                    SoakFaultFilter const& aFilter);

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_SOAK_PLAN_HPP_INCLUDED
