#ifndef TARRAGONSILL_SETTINGS_HPP_INCLUDED
#define TARRAGONSILL_SETTINGS_HPP_INCLUDED

#include "tarragonsill/protocol/tarragonsill_yaml_reader.hpp"
#include "tarragonsill/state/tarragonsill_address.hpp"

#include <optional>
#include <string>
#include <vector>

/// The settings of one entry VM: its own addresses, its zone, and whom it
/// talks to.
namespace tarragonsill {

struct Settings
{
  std::string mEntry; ///< Name, unique in the deployment.
  std::string mZone;
  Endpoint mData;    ///< UDP, Geneve.
  Endpoint mControl; ///< UDP, between entry VMs.
  Endpoint mCalls;   ///< TCP, gRPC.
  Endpoint mMetrics; ///< TCP, HTTP.
  /// Fabric endpoints; packets go back to the first one.
  std::vector<Endpoint> mFabric;
  /// Networks from which peers may send.
  std::vector<Prefix> mPeers;
  /// Networks that are fenced off: nothing is sent to them or taken from them.
  /// Read again on SIGHUP.
  std::vector<Prefix> mDenied;
  /// Control addresses to contact first.
  std::vector<Endpoint> mSeeds;
  Endpoint mPlatform;
  std::string mDeployment;
  std::uint32_t mPlatformCallsPerSecond = 20;
  std::string mLogLevel = "info";
  std::string mLogFile; ///< Empty for standard error.
};

/// Reads settings; a value is returned only if no fault was added.
std::optional<Settings> ReadSettings(std::string const& aText,
                                     YamlErrors& aErrors);

} // namespace tarragonsill

#endif // TARRAGONSILL_SETTINGS_HPP_INCLUDED
