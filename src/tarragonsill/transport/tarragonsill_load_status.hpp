#ifndef TARRAGONSILL_LOAD_STATUS_HPP_INCLUDED
#define TARRAGONSILL_LOAD_STATUS_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_shared_load.hpp"
#include "tarragonsill/transport/tarragonsill_node_state.hpp"

/// Shows by the log and the metrics whether a VM has load reports.
namespace tarragonsill {

class LoadStatus
{
public:
  /// Records the loads that are handed to the packet thread. Writes a line when
  /// reports are gained or lost, at most one in `kMinLogDistance`.
  void Record(TimePoint aNow, SharedLoads const& aLoads, NodeState& aState);

private:
  static constexpr seconds kMinLogDistance{ 5 };

  bool mHasReports = false; ///< As last written to the log.
  TimePoint mNextLog{};
};

/// Returns the metrics of the load reports in use in the text exposition
/// format.
std::string LoadMetrics(NodeState const& aState);

} // namespace tarragonsill

#endif // TARRAGONSILL_LOAD_STATUS_HPP_INCLUDED
