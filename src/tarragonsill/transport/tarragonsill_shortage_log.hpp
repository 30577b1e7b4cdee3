#ifndef TARRAGONSILL_SHORTAGE_LOG_HPP_INCLUDED
#define TARRAGONSILL_SHORTAGE_LOG_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_service_admission.hpp"
#include "tarragonsill/transport/tarragonsill_node_log.hpp"

#include <vector>

/// The log lines about shortages of room at the upstreams.
namespace tarragonsill {

/// Writes a line for each shortage that began or ended, and for each class of
/// which openings were decided during one.
void WriteShortageEvents(NodeLog& aLog,
                         std::vector<ShortageEvent> const& aEvents);

} // namespace tarragonsill

#endif // TARRAGONSILL_SHORTAGE_LOG_HPP_INCLUDED
