#include "tarragonsill/state/tarragonsill_counters.hpp"

namespace tarragonsill {

namespace {

constexpr auto kCounterCount = static_cast<std::size_t>(Counter::Count);

constexpr std::array<std::string_view, kCounterCount> kNames = {
  "tarragonsill_packets_received_total",
  "tarragonsill_packets_to_upstream_total",
  "tarragonsill_packets_to_caller_total",
  "tarragonsill_packets_to_peer_total",
  "tarragonsill_drop_outer_truncated_total",
  "tarragonsill_drop_outer_version_total",
  "tarragonsill_drop_outer_protocol_total",
  "tarragonsill_drop_outer_critical_option_total",
  "tarragonsill_drop_truncated_total",
  "tarragonsill_drop_version_total",
  "tarragonsill_drop_ip_options_total",
  "tarragonsill_drop_fragment_total",
  "tarragonsill_drop_protocol_total",
  "tarragonsill_drop_foreign_sender_total",
  "tarragonsill_drop_unknown_service_total",
  "tarragonsill_drop_no_home_total",
  "tarragonsill_drop_hop_limit_total",
  "tarragonsill_drop_unknown_flow_total",
  "tarragonsill_drop_no_capacity_total",
  "tarragonsill_drop_zone_out_total",
  "tarragonsill_drop_no_configuration_total",
  "tarragonsill_drop_send_failed_total",
  "tarragonsill_drop_stale_total",
  "tarragonsill_flows_admitted_total",
  "tarragonsill_flows_deviated_total",
  "tarragonsill_flows_refused_full_total",
  "tarragonsill_flows_refused_cold_total",
  "tarragonsill_flows_refused_no_lease_total",
  "tarragonsill_flows_claimed_total",
  "tarragonsill_flows_inferred_total",
  "tarragonsill_flows_guessed_total",
  "tarragonsill_absent_homes_asked_total",
  "tarragonsill_resets_held_back_total",
  "tarragonsill_exceptions_recorded_total",
  "tarragonsill_answers_learned_total",
  "tarragonsill_cache_hits_total",
  "tarragonsill_decision_log_overflow_total",
  "tarragonsill_control_messages_sent_total",
  "tarragonsill_control_messages_received_total",
  "tarragonsill_control_bytes_sent_total",
  "tarragonsill_control_bytes_received_total",
  "tarragonsill_control_messages_rejected_total",
  "tarragonsill_lease_asks_total",
  "tarragonsill_lease_grants_total",
  "tarragonsill_lease_takeovers_total",
  "tarragonsill_members_suspected_total",
  "tarragonsill_members_failed_total",
  "tarragonsill_calls_received_total",
  "tarragonsill_calls_answered_total",
  "tarragonsill_calls_not_run_total",
  "tarragonsill_calls_unknown_total",
  "tarragonsill_calls_retried_total",
  "tarragonsill_calls_shed_total",
  "tarragonsill_calls_late_answers_total",
  "tarragonsill_platform_calls_total",
  "tarragonsill_platform_failures_total",
  "tarragonsill_platform_calls_over_budget_total",
  "tarragonsill_configurations_applied_total",
  "tarragonsill_configurations_refused_total",
  "tarragonsill_opening_copies_total",
  "tarragonsill_resets_removed_route_total",
  "tarragonsill_flows_second_choice_total",
  "tarragonsill_resets_silent_upstream_total",
  "tarragonsill_store_calls_total",
  "tarragonsill_store_failures_total",
  "tarragonsill_store_events_total",
  "tarragonsill_log_lines_dropped_total",
  "tarragonsill_reach_checks_total",
  "tarragonsill_upstreams_out_of_reach_total",
  "tarragonsill_store_confirmations_total",
  "tarragonsill_load_reports_sent_total",
  "tarragonsill_load_reports_received_total",
  "tarragonsill_placements_by_delay_total",
  "tarragonsill_openings_rejected_total",
  "tarragonsill_openings_hedged_total",
  "tarragonsill_hedges_answered_first_total",
  "tarragonsill_late_answers_corrected_total",
};

} // namespace

std::string_view
CounterName(Counter aCounter)
{
  return kNames[static_cast<std::size_t>(aCounter)];
}

std::string
Counters::ToExposition(std::string_view aEntry) const
{
  std::string text;
  for (std::size_t index = 0; index < kCounterCount; ++index) {
    auto const name = kNames[index];
    text.append("# TYPE ").append(name).append(" counter\n");
    text.append(name).append("{entry=\"").append(aEntry).append("\"} ");
    text.append(std::to_string(Value(static_cast<Counter>(index))));
    text.push_back('\n');
  }
  return text;
}

} // namespace tarragonsill
