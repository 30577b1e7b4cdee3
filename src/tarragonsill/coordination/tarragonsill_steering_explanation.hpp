#ifndef TARRAGONSILL_STEERING_EXPLANATION_HPP_INCLUDED
#define TARRAGONSILL_STEERING_EXPLANATION_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_steering_snapshot.hpp"

#include <string>
#include <vector>

/// Explains steering decisions to operators.
namespace tarragonsill {

/// Why a flow goes where it goes, for the `explain` command.
struct SteeringExplanation
{
  std::string mService;
  std::string mHashChoice;              ///< Upstream name, or its address.
  std::vector<std::string> mHomes;      ///< Entry VMs, the deciding one first.
  std::string mOwner;                   ///< Admission owner of the pure choice.
  std::vector<std::string> mCandidates; ///< Upstreams in order of preference.
};

/// Explains a flow on a snapshot; the reason is `NotFound`.
Result<SteeringExplanation> Explain(SteeringSnapshot const& aSnapshot,
                                    std::string const& aService,
                                    FlowKey aFlow);

} // namespace tarragonsill

#endif // TARRAGONSILL_STEERING_EXPLANATION_HPP_INCLUDED
