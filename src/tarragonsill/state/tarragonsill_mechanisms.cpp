#include "tarragonsill/state/tarragonsill_mechanisms.hpp"

#include <algorithm>
#include <array>
#include <iterator>

namespace tarragonsill {

namespace {

constexpr auto kMechanismCount = static_cast<std::size_t>(Mechanism::Count);

constexpr std::array<std::string_view, kMechanismCount> kNames = {
  "zone_first",         "zone_spill",       "slot_spill",
  "answer_pace",        "doubtful_last",    "probation",
  "second_choice",      "silent_zones",     "silent_upstreams",
  "reach_checks",       "evidence_ages",    "cold_share",
  "early_packets",      "late_openings",    "cut_zone_unready",
  "stay_ready",         "peers_first",      "drawn_watchers",
  "watch_scout",        "gathered_changes", "replica_lists",
  "missing_patience",   "load_reports",     "expected_delay",
  "priority_admission", "hedged_openings",  "outbound_reach",
  "restart_signs",      "late_answers",
};

std::string
AllNames()
{
  std::string names;
  for (auto const name : kNames) {
    names += names.empty() ? "" : ", ";
    names += name;
  }
  return names;
}

} // namespace

std::string_view
ToText(Mechanism aMechanism)
{
  return kNames[static_cast<std::size_t>(aMechanism)];
}

Result<Mechanisms>
Mechanisms::Without(std::vector<std::string> const& aNames)
{
  Mechanisms mechanisms;
  for (auto const& name : aNames) {
    auto const found = std::find(kNames.begin(), kNames.end(), name);
    if (found == kNames.end()) {
      return Reason{ ReasonCode::Invalid,
                     "'" + name + "' is not a mechanism; the valid names are " +
                       AllNames() };
    }
    mechanisms.mOff.set(
      static_cast<std::size_t>(std::distance(kNames.begin(), found)));
  }
  return mechanisms;
}

std::vector<std::string>
Mechanisms::DisabledNames() const
{
  std::vector<std::string> names;
  for (std::size_t index = 0; index < kMechanismCount; ++index) {
    if (mOff[index]) {
      names.emplace_back(kNames[index]);
    }
  }
  return names;
}

std::string
Mechanisms::ToExposition(std::string_view aEntry) const
{
  std::string text = "# TYPE tarragonsill_mechanism gauge\n";
  for (std::size_t index = 0; index < kMechanismCount; ++index) {
    text.append("tarragonsill_mechanism{entry=\"").append(aEntry);
    text.append("\",name=\"").append(kNames[index]).append("\"} ");
    text.append(mOff[index] ? "0\n" : "1\n");
  }
  return text;
}

} // namespace tarragonsill
