#include "tarragonsill/state/tarragonsill_routing_view.hpp"

#include <algorithm>

namespace tarragonsill {

bool
ResolvedRoute::SendsTo(std::uint32_t aService) const
{
  return std::any_of(mShares.begin(), mShares.end(), [&](Share const& aShare) {
    return aShare.mService == aService && aShare.mWeight > 0;
  });
}

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
