#include "tarragonsill_lab_soak_plan.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <random>

namespace tarragonsill::Lab {

namespace {

constexpr auto kKinds = static_cast<std::size_t>(SoakFaultKind::Count);
/// Rollbacks of the store are drawn apart from the others.
constexpr auto kDrawnTogether =
  static_cast<std::size_t>(SoakFaultKind::StoreRollback);

constexpr std::array<std::string_view, kKinds> kNames = {
  "kill_vm",        "kill_all_vms",   "stop_vm",       "pause_vm",
  "reload_vm",      "store_down",     "store_forgets", "store_delayed",
  "store_silent",   "store_one_way",  "store_reset",   "store_refuses",
  "crash_upstream", "drain_upstream", "toggle_route",  "evacuate_zone",
  "store_rollback",
};

/// The mean pause between two faults; many of them last longer.
constexpr milliseconds kMeanPause{ 900 };
constexpr milliseconds kMinTime{ 300 };
constexpr milliseconds kMaxTime{ 4000 };
/// The mean pause between two rollbacks; one in three is soon followed by
/// another.
constexpr milliseconds kMeanRollbackPause{ 9000 };
constexpr milliseconds kTwiceAfter{ 2500 };
/// Makes the draws of rollbacks differ from those of other faults.
constexpr std::uint64_t kRollbackStream = 0x726F6C6C;

std::vector<SoakFault>
DrawCommon(std::uint64_t aSeed, milliseconds aTime)
{
  std::mt19937_64 random(aSeed);
  std::exponential_distribution<double> pause(
    1.0 / static_cast<double>(kMeanPause.count()));
  std::uniform_int_distribution<std::size_t> kind(0, kDrawnTogether - 1);
  std::uniform_int_distribution<milliseconds::rep> time(kMinTime.count(),
                                                        kMaxTime.count());
  std::uniform_int_distribution<std::uint32_t> target(0, 1'000'000);
  std::vector<SoakFault> plan;
  milliseconds at{ 0 };
  while (true) {
    at += milliseconds{ static_cast<milliseconds::rep>(pause(random)) };
    if (at >= aTime) {
      return plan;
    }
    plan.push_back({ static_cast<SoakFaultKind>(kind(random)),
                     at,
                     milliseconds{ time(random) },
                     target(random) });
  }
}

std::vector<SoakFault>
DrawRollbacks(std::uint64_t aSeed, milliseconds aTime)
{
  std::mt19937_64 random(aSeed ^ kRollbackStream);
  std::exponential_distribution<double> pause(
    1.0 / static_cast<double>(kMeanRollbackPause.count()));
  std::uniform_int_distribution<milliseconds::rep> time(kMinTime.count(),
                                                        kMaxTime.count());
  std::uniform_int_distribution<std::uint32_t> target(0, 1'000'000);
  std::vector<SoakFault> plan;
  milliseconds at{ 0 };
  while (true) {
    at += kMinTime;
    at += milliseconds{ static_cast<milliseconds::rep>(pause(random)) };
    if (at >= aTime) {
      return plan;
    }
    auto const number = target(random);
    plan.push_back({ SoakFaultKind::StoreRollback,
                     at,
                     milliseconds{ time(random) },
                     number });
    if (number % 3 == 0 && at + kTwiceAfter < aTime) {
      at += kTwiceAfter;
      plan.push_back({ SoakFaultKind::StoreRollback,
                       at,
                       milliseconds{ time(random) },
                       target(random) });
    }
  }
}

} // namespace

std::string_view
ToText(SoakFaultKind aKind)
{
  return kNames[static_cast<std::size_t>(aKind)];
}

std::optional<SoakFaultKind>
ParseSoakFaultKind(std::string_view aName)
{
  auto const found = std::find(kNames.begin(), kNames.end(), aName);
  return found == kNames.end() ? std::nullopt
                               : std::optional(static_cast<SoakFaultKind>(
                                   std::distance(kNames.begin(), found)));
}

std::vector<std::string>
SoakFaultNames()
{
  return { kNames.begin(), kNames.end() };
}

bool
SoakChoice::Has(SoakFaultKind aKind) const
{
  bool const isWanted = mOnly.empty() || mOnly.count(aKind) > 0;
  return isWanted && mWithout.count(aKind) == 0;
}

std::vector<SoakFault>
DrawSoakPlan(std::uint64_t aSeed, milliseconds aTime, SoakChoice const& aChoice)
{
  auto plan = DrawCommon(aSeed, aTime);
  auto const rollbacks = DrawRollbacks(aSeed, aTime);
  plan.insert(plan.end(), rollbacks.begin(), rollbacks.end());
  std::erase_if(
    plan, [&](SoakFault const& aFault) { return !aChoice.Has(aFault.mKind); });
  std::stable_sort(plan.begin(), plan.end(), [](auto& aLeft, auto& aRight) {
    return aLeft.mAt < aRight.mAt;
  });
  return plan;
}

} // namespace tarragonsill::Lab
