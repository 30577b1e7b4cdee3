#ifndef TARRAGONSILL_NODE_STATE_HPP_INCLUDED
#define TARRAGONSILL_NODE_STATE_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_counters.hpp"
#include "tarragonsill/state/tarragonsill_node_settings.hpp"
#include "tarragonsill/transport/tarragonsill_node_log.hpp"
#include "tarragonsill/transport/tarragonsill_published_freshness.hpp"

#include <atomic>
#include <cstdint>
#include <utility>

namespace tarragonsill {

/// State shared by the threads and actors of an entry VM.
struct NodeState
{
  explicit NodeState(NodeSettings aSettings)
    : mSettings(std::move(aSettings))
    , mLog(mSettings.mName, mCounters)
  {
  }

  NodeSettings mSettings;
  Counters mCounters;
  NodeLog mLog;
  PublishedFreshness mFreshness;
  /// The time as of which this VM's state is confirmed to be current.
  std::atomic<TimePoint> mCurrentAsOf{ TimePoint{} };
  /// Whether a configuration is known and each kind of objects was listed.
  std::atomic<bool> mIsComplete{ false };
  /// Whether this VM can serve callers. False in a zone that is cut off and has
  /// no upstream that may get new flows or answers.
  std::atomic<bool> mCanServe{ true };
  /// Whether enough other VMs of the zone are serving for this VM to leave.
  std::atomic<bool> mMayLeave{ true };
  /// The highest observed era of the store.
  std::atomic<std::uint64_t> mStoreEra{ 0 };
  /// The other VMs of the zone whose load reports are in use.
  std::atomic<std::uint32_t> mLoadReporters{ 0 };
  /// When the oldest part of the load reports in use was observed.
  std::atomic<TimePoint> mLoadsAsOf{ TimePoint{} };
  /// Whether this VM is leaving; its process ends soon.
  std::atomic<bool> mIsLeaving{ false };
};

} // namespace tarragonsill

#endif // TARRAGONSILL_NODE_STATE_HPP_INCLUDED
