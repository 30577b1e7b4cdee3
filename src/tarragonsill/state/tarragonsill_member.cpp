#include "tarragonsill/state/tarragonsill_member.hpp"

namespace tarragonsill {

std::string_view
ToText(MemberStage aStage)
{
  switch (aStage) {
    case MemberStage::Joining:
      return "joining";
    case MemberStage::Serving:
      return "serving";
    case MemberStage::Leaving:
      return "leaving";
  }
  return "undefined";
}

std::string_view
ToText(MemberHealth aHealth)
{
  switch (aHealth) {
    case MemberHealth::Alive:
      return "alive";
    case MemberHealth::Suspect:
      return "suspect";
    case MemberHealth::Failed:
      return "failed";
    case MemberHealth::Gone:
      return "gone";
  }
  return "undefined";
}

} // namespace tarragonsill
