#include "tarragonsill/state/tarragonsill_routing_view.hpp"

namespace tarragonsill {

std::string_view
ToText(UpstreamAvailability aAvailability)
{
  switch (aAvailability) {
    case UpstreamAvailability::Serving:
      return "serving";
    case UpstreamAvailability::Draining:
      return "draining";
    case UpstreamAvailability::Missing:
      return "missing";
    case UpstreamAvailability::Gone:
      return "gone";
  }
  return "unknown";
}

} // namespace tarragonsill
