#ifndef TARRAGONSILL_STEERING_EXPLANATION_HPP_INCLUDED
#define TARRAGONSILL_STEERING_EXPLANATION_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_steering_snapshot.hpp"

#include <string>
#include <vector>

/// Explains steering decisions to operators.
namespace tarragonsill {

/// How a flow is steered, for the `explain` command.
struct SteeringExplanation
{
  std::string mService;
  std::string mHashChoice;         ///< Name of the upstream, or its address.
  std::vector<std::string> mHomes; ///< Entry VMs; the first one decides.
  std::string mOwner;              ///< Admission owner of the hash choice.
  std::vector<std::string> mCandidates; ///< Upstreams in order of preference.
};

/// Explains how a flow is steered under a snapshot. The reason is `NotFound` if
/// the service is not declared or its steering table is empty.
Result<SteeringExplanation> Explain(SteeringSnapshot const& aSnapshot,
                                    std::string const& aService,
                                    FlowKey aFlow);

} // namespace tarragonsill

#endif // TARRAGONSILL_STEERING_EXPLANATION_HPP_INCLUDED
