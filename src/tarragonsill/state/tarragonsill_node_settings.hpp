#ifndef TARRAGONSILL_NODE_SETTINGS_HPP_INCLUDED
#define TARRAGONSILL_NODE_SETTINGS_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_address.hpp"
#include "tarragonsill/state/tarragonsill_mechanisms.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// Settings of an entry VM that learns its configuration, its upstreams and
/// its peers from an object store.
namespace tarragonsill {

/// The times within which the deployment expects changes to be followed.
struct NodeBounds
{
  milliseconds mConfiguration{ 3000 }; ///< A new configuration is in force.
  milliseconds mDrain{ 3000 };         ///< A leaving upstream gets no new work.
  milliseconds mEvacuation{ 5000 };    ///< An evacuated zone gets no new work.
  milliseconds mGrace{ 6000 };         ///< From SIGTERM to the forced end.
  milliseconds mMaxFlowTime{ 60000 };  ///< Older flows may be forgotten.
  /// What a cold upstream is given in a second: its own rate times this
  /// factor, plus the allowance.
  double mColdFactor = 1.5;
  double mColdAllowance = 5.0;
};

struct NodeSettings
{
  std::string mName;
  std::string mZone;
  std::vector<std::string> mZones; ///< Every zone of the deployment.
  Endpoint mPackets;               ///< UDP, packets of callers.
  Endpoint mReadiness;             ///< TCP, HTTP.
  Endpoint mPeers;                 ///< UDP, between entry VMs.
  Endpoint mMetrics;               ///< TCP, HTTP.
  Endpoint mKnowledge;             ///< TCP, gRPC, between entry VMs.
  std::vector<Endpoint> mSeeds;    ///< Where peers may be; may be out of date.
  Endpoint mStore;                 ///< TCP, HTTP.
  /// The whole deployment starts for the first time, so nobody waits for it.
  bool mIsFirstStart = false;
  milliseconds mHeartbeat{ 1000 }; ///< Interval of the upstreams' reports.
  NodeBounds mBounds;
  Mechanisms mMechanisms;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_NODE_SETTINGS_HPP_INCLUDED
