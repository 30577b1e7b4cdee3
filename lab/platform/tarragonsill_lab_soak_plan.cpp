#include "tarragonsill_lab_soak_plan.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <random>

namespace tarragonsill::Lab {

namespace {

constexpr auto kKinds = static_cast<std::size_t>(SoakFaultKind::Count);
/// Number of kinds before those that are planned separately.
constexpr auto kCommonKinds =
  static_cast<std::size_t>(SoakFaultKind::StoreRollback);

constexpr std::array<std::string_view, kKinds> kKindNames = {
  "kill_vm",        "kill_all_vms",     "stop_vm",       "pause_vm",
  "reload_vm",      "store_down",       "store_forgets", "store_delayed",
  "store_silent",   "store_one_way",    "store_reset",   "store_refuses",
  "crash_upstream", "drain_upstream",   "toggle_route",  "evacuate_zone",
  "store_rollback", "suspend_upstream",
};

/// Mean time between faults. Many faults last longer and overlap.
constexpr milliseconds kMeanInterval{ 900 };
constexpr milliseconds kMinDuration{ 300 };
constexpr milliseconds kMaxDuration{ 4000 };
/// Mean time between rollbacks. One in three is followed by another after a
/// short delay.
constexpr milliseconds kMeanRollbackInterval{ 9000 };
constexpr milliseconds kRepeatedRollbackDelay{ 2500 };
/// Mean time between standstills of upstreams.
constexpr milliseconds kMeanSuspensionInterval{ 1200 };
/// Callers give a request up after 3 s.
constexpr milliseconds kMaxSuspension{ 2500 };
/// Make the random sequences of rollbacks and of standstills differ from that
/// of other faults.
constexpr std::uint64_t kRollbackSeedMask = 0x726F6C6C;
constexpr std::uint64_t kSuspensionSeedMask = 0x73757370;

/// Draws faults at random times; `aDrawKind` returns the kind of the next one.
template<typename DrawKind>
std::vector<SoakFault>
DrawFaults(std::uint64_t aSeed,
           milliseconds aLength,
           milliseconds aMeanInterval,
           milliseconds aMaxDuration,
           DrawKind aDrawKind)
{
  std::mt19937_64 random(aSeed);
  std::exponential_distribution<double> interval(
    1.0 / static_cast<double>(aMeanInterval.count()));
  std::uniform_int_distribution<milliseconds::rep> duration(
    kMinDuration.count(), aMaxDuration.count());
  std::uniform_int_distribution<std::uint32_t> target(0, 1'000'000);
  std::vector<SoakFault> plan;
  milliseconds at{ 0 };
  while (true) {
    at += milliseconds{ static_cast<milliseconds::rep>(interval(random)) };
    if (at >= aLength) {
      return plan;
    }
    auto const kind = aDrawKind(random);
    plan.push_back(
      { kind, at, milliseconds{ duration(random) }, target(random) });
  }
}

std::vector<SoakFault>
MakeCommonFaults(std::uint64_t aSeed, milliseconds aLength)
{
  std::uniform_int_distribution<std::size_t> kind(0, kCommonKinds - 1);
  return DrawFaults(
    aSeed, aLength, kMeanInterval, kMaxDuration, [&](auto& aRandom) {
      return static_cast<SoakFaultKind>(kind(aRandom));
    });
}

std::vector<SoakFault>
MakeSuspensions(std::uint64_t aSeed, milliseconds aLength)
{
  return DrawFaults(
    aSeed ^ kSuspensionSeedMask,
    aLength,
    kMeanSuspensionInterval,
    kMaxSuspension,
    [](auto& /*aRandom*/) { return SoakFaultKind::SuspendUpstream; });
}

std::vector<SoakFault>
MakeRollbacks(std::uint64_t aSeed, milliseconds aLength)
{
  std::mt19937_64 random(aSeed ^ kRollbackSeedMask);
  std::exponential_distribution<double> interval(
    1.0 / static_cast<double>(kMeanRollbackInterval.count()));
  std::uniform_int_distribution<milliseconds::rep> duration(
    kMinDuration.count(), kMaxDuration.count());
  std::uniform_int_distribution<std::uint32_t> target(0, 1'000'000);
  std::vector<SoakFault> plan;
  milliseconds at{ 0 };
  while (true) {
    at += kMinDuration;
    at += milliseconds{ static_cast<milliseconds::rep>(interval(random)) };
    if (at >= aLength) {
      return plan;
    }
    auto const targetNumber = target(random);
    plan.push_back({ SoakFaultKind::StoreRollback,
                     at,
                     milliseconds{ duration(random) },
                     targetNumber });
    if (targetNumber % 3 == 0 && at + kRepeatedRollbackDelay < aLength) {
      at += kRepeatedRollbackDelay;
      plan.push_back({ SoakFaultKind::StoreRollback,
                       at,
                       milliseconds{ duration(random) },
                       target(random) });
    }
  }
}

} // namespace

std::string_view
ToText(SoakFaultKind aKind)
{
  return kKindNames[static_cast<std::size_t>(aKind)];
}

std::optional<SoakFaultKind>
ParseSoakFaultKind(std::string_view aName)
{
  auto const found = std::find(kKindNames.begin(), kKindNames.end(), aName);
  return found == kKindNames.end()
           ? std::nullopt
           : std::optional(static_cast<SoakFaultKind>(
               std::distance(kKindNames.begin(), found)));
}

std::vector<std::string>
SoakFaultNames()
{
  return { kKindNames.begin(), kKindNames.end() };
}

bool
SoakFaultFilter::Includes(SoakFaultKind aKind) const
{
  bool const isSelected = mOnly.empty() || mOnly.count(aKind) > 0;
  return isSelected && mWithout.count(aKind) == 0;
}

std::vector<SoakFault>
MakeSoakPlan(std::uint64_t aSeed,
             milliseconds aLength,
             SoakFaultFilter const& aFilter)
{
  auto plan = MakeCommonFaults(aSeed, aLength);
  for (auto const& faults :
       { MakeRollbacks(aSeed, aLength), MakeSuspensions(aSeed, aLength) }) {
    plan.insert(plan.end(), faults.begin(), faults.end());
  }
  std::erase_if(plan, [&](SoakFault const& aFault) {
    return !aFilter.Includes(aFault.mKind);
  });
  std::stable_sort(plan.begin(), plan.end(), [](auto& aLeft, auto& aRight) {
    return aLeft.mAt < aRight.mAt;
  });
  return plan;
}

} // namespace tarragonsill::Lab
