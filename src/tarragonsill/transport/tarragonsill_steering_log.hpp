#ifndef TARRAGONSILL_STEERING_LOG_HPP_INCLUDED
#define TARRAGONSILL_STEERING_LOG_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_cookie_steering.hpp"
#include "tarragonsill/transport/tarragonsill_node_log.hpp"

#include <vector>

/// The log lines about steering decisions.
namespace tarragonsill {

/// The fields of a line about a steering decision.
std::vector<LogField> FieldsOf(SteeringLogEntry const& aEntry,
                               RoutingView const& aView);

/// Writes a line about an upstream that did not take a connection.
void WriteFailedProbe(NodeLog& aLog,
                      TimePoint aNow,
                      CookieSteering const& aSteering,
                      std::uint32_t aSlot,
                      ConnectResult aResult);

} // namespace tarragonsill

#endif // TARRAGONSILL_STEERING_LOG_HPP_INCLUDED
