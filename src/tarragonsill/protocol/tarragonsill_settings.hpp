#ifndef TARRAGONSILL_SETTINGS_HPP_INCLUDED
#define TARRAGONSILL_SETTINGS_HPP_INCLUDED

#include "tarragonsill/protocol/tarragonsill_yaml_reader.hpp"
#include "tarragonsill/state/tarragonsill_address.hpp"

#include <optional>
#include <string>
#include <vector>

/// The settings of one entry VM: its zone, its addresses, and the addresses
/// that it contacts.
namespace tarragonsill {

struct Settings
{
  std::string mEntry; ///< Name of the entry VM, unique in the deployment.
  std::string mZone;
  Endpoint mData;    ///< UDP, Geneve.
  Endpoint mControl; ///< UDP, between entry VMs.
  Endpoint mCalls;   ///< TCP, gRPC.
  Endpoint mMetrics; ///< TCP, HTTP.
  /// Endpoints of the fabric. Packets to the fabric are sent to the first one.
  std::vector<Endpoint> mFabric;
  /// Networks from which packets of peers are accepted.
  std::vector<Prefix> mPeers;
  /// Denied networks: nothing is sent to them or accepted from them. Reloaded
  /// on SIGHUP.
  std::vector<Prefix> mDenied;
  /// Control addresses of entry VMs to contact at the start.
  std::vector<Endpoint> mSeeds;
  Endpoint mPlatform;
  std::string mDeployment;
  std::uint32_t mPlatformCallsPerSecond = 20;
  std::string mLogLevel = "info";
  std::string mLogFile; ///< Standard error if empty.
};

/// Parses and validates settings. Returns a value only if no error was added.
std::optional<Settings> ReadSettings(std::string const& aText,
                                     YamlErrors& aErrors);

} // namespace tarragonsill

#endif // TARRAGONSILL_SETTINGS_HPP_INCLUDED
