#include "tarragonsill_lab_soak_plan.hpp"

#include <array>
#include <random>

namespace tarragonsill::Lab {

namespace {

constexpr auto kKinds = static_cast<std::size_t>(SoakFaultKind::Count);

constexpr std::array<std::string_view, kKinds> kNames = {
  "kill_vm",        "kill_all_vms",   "stop_vm",       "pause_vm",
  "reload_vm",      "store_down",     "store_forgets", "store_delayed",
  "store_silent",   "store_one_way",  "store_reset",   "store_refuses",
  "crash_upstream", "drain_upstream", "toggle_route",  "evacuate_zone",
};

/// The mean pause between two faults; many of them last longer.
constexpr milliseconds kMeanPause{ 900 };
constexpr milliseconds kLeastTime{ 300 };
constexpr milliseconds kMostTime{ 4000 };

} // namespace

std::string_view
ToText(SoakFaultKind aKind)
{
  return kNames[static_cast<std::size_t>(aKind)];
}

std::vector<SoakFault>
DrawSoakPlan(std::uint64_t aSeed, milliseconds aTime)
{
  std::mt19937_64 random(aSeed);
  std::exponential_distribution<double> pause(
    1.0 / static_cast<double>(kMeanPause.count()));
  std::uniform_int_distribution<std::size_t> kind(0, kKinds - 1);
  std::uniform_int_distribution<milliseconds::rep> time(kLeastTime.count(),
                                                        kMostTime.count());
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

} // namespace tarragonsill::Lab
