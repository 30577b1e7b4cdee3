#ifndef TARRAGONSILL_NODE_SETTINGS_HPP_INCLUDED
#define TARRAGONSILL_NODE_SETTINGS_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_address.hpp"
#include "tarragonsill/state/tarragonsill_mechanisms.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Settings of an entry VM that reads its configuration, its upstreams and its
/// peers from an object store.
namespace tarragonsill {

/// Deadlines and limits that the deployment sets for its entry VMs.
struct NodeBounds
{
  /// Max time until a new configuration is in force.
  milliseconds mConfiguration{ 3000 };
  /// Max time until a draining upstream gets no new work.
  milliseconds mDrain{ 3000 };
  /// Max time until an evacuated zone gets no new work.
  milliseconds mEvacuation{ 5000 };
  /// Time from SIGTERM to the forced end of the process.
  milliseconds mGrace{ 6000 };
  /// Max age of a flow. The state of older flows may be discarded.
  milliseconds mMaxFlowTime{ 60000 };
  /// A cold upstream gets at most its own rate times this factor, plus the
  /// allowance, in new flows per second.
  double mColdFactor = 1.5;
  double mColdAllowance = 5.0;
};

/// The range of `NodeSettings::mMaxHedgeShare`.
constexpr double kMaxHedgeShareLimit = 0.2;

/// The settings of one entry VM.
struct NodeSettings
{
  std::string mName;
  std::string mZone;
  std::vector<std::string> mZones; ///< Every zone of the deployment.
  Endpoint mPackets;               ///< UDP, callers' packets.
  Endpoint mReadiness;             ///< TCP, HTTP.
  Endpoint mPeers;                 ///< UDP, between entry VMs.
  Endpoint mMetrics;               ///< TCP, HTTP.
  Endpoint mKnowledge;             ///< TCP, gRPC, between entry VMs.
  std::vector<Endpoint> mSeeds;    ///< Possible peers; may be out of date.
  Endpoint mStore;                 ///< TCP, HTTP.
  /// Whether the whole deployment starts for the first time, so that there are
  /// no peers to wait for.
  bool mIsFirstStart = false;
  milliseconds mHeartbeat{ 1000 }; ///< Interval of the upstreams' heartbeats.
  NodeBounds mBounds;
  /// Max share of opening packets that are hedged; 0 for none.
  std::optional<double> mMaxHedgeShare;
  Mechanisms mMechanisms;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_NODE_SETTINGS_HPP_INCLUDED
