#include "tarragonsill/protocol/tarragonsill_stored_object.hpp"

namespace tarragonsill {

std::string_view
ToText(ObjectKind aKind)
{
  switch (aKind) {
    case ObjectKind::Configuration:
      return "configuration";
    case ObjectKind::Upstreams:
      return "upstreams";
    case ObjectKind::Evacuations:
      return "evacuations";
  }
  return "unknown";
}

} // namespace tarragonsill
