#include "tarragonsill/state/tarragonsill_routing_view.hpp"

namespace tarragonsill {

std::string_view
ToText(UpstreamUse aUse)
{
  switch (aUse) {
    case UpstreamUse::Serving:
      return "serving";
    case UpstreamUse::Draining:
      return "draining";
    case UpstreamUse::Missing:
      return "missing";
    case UpstreamUse::Gone:
      return "gone";
  }
  return "unknown";
}

} // namespace tarragonsill
