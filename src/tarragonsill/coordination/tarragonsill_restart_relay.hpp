#ifndef TARRAGONSILL_RESTART_RELAY_HPP_INCLUDED
#define TARRAGONSILL_RESTART_RELAY_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_member.hpp"
#include "tarragonsill/state/tarragonsill_upstream_restart.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

/// Decides which VMs hear that another process may run in place of an upstream.
///
/// Many VMs notice it at the same time. They tell the two VMs of the upstream's
/// zone that rank first for it, and only those two tell the other VMs.
namespace tarragonsill {

class RestartRelay
{
public:
  static constexpr std::size_t kRelays = 2;
  /// VMs of each other zone that are told, since few flows go there from them.
  static constexpr std::size_t kPerOtherZone = 2;

  /// Returns those of this VM's observations that it has not reported yet.
  UpstreamRestarts TakeNew(UpstreamRestarts const& aObserved);

  /// Returns the members to which a VM reports a restart that is new to it.
  static std::vector<Member> Recipients(std::vector<Member> const& aMembers,
                                        std::string const& aSelf,
                                        std::string_view aUpstream,
                                        std::string const& aZone);

private:
  std::map<std::string, UpstreamRestart> mReported; ///< By upstream.
};

} // namespace tarragonsill

#endif // TARRAGONSILL_RESTART_RELAY_HPP_INCLUDED
