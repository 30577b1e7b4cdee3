#ifndef TARRAGONSILL_CLI_HPP_INCLUDED
#define TARRAGONSILL_CLI_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_configuration.hpp"
#include "tarragonsill/state/tarragonsill_reason.hpp"
#include "tarragonsill/transport/tarragonsill_platform_client.hpp"

#include <string>
#include <vector>

/// The commands of the `tarragonsill` program. Each returns an exit status.
namespace tarragonsill {

/// The exit statuses of the commands.
struct ExitStatus
{
  static constexpr int kOk = 0;
  /// The input is invalid, or the operation was not carried out.
  static constexpr int kRefused = 1;
  /// The input cannot be read, or the outcome is unknown.
  static constexpr int kFailure = 2;
};

/// Options of the commands that access the platform.
struct PlatformOptions
{
  std::string mAddress;    ///< `ADDRESS:PORT`.
  std::string mDeployment; ///< Empty to use the name in the file.
  bool mJson = false;
};

/// Options of an entry VM on the operators' platform.
struct NodeOptions
{
  std::uint16_t mMetricsPort = 0; ///< Overrides the settings unless 0.
  /// Applies if the settings have none.
  double mMaxHedgeShare = 0.0;
  std::vector<std::string> mWithout; ///< Mechanisms to switch off.
};

/// Runs an entry VM until SIGTERM or SIGINT.
int RunEntry(std::string const& aSettingsFile);
/// Runs an entry VM on the operators' platform until SIGTERM or SIGINT. If the
/// file name is empty, the platform's environment variable names the file.
int RunNode(std::string const& aSettingsFile, NodeOptions const& aOptions);
/// Checks a configuration or settings file and prints its errors.
int CheckFile(std::string const& aFile, bool aJson);
/// Applies a configuration.
int ApplyFile(std::string const& aFile, PlatformOptions const& aOptions);
/// Takes a zone out of service or puts it back.
int SetZone(std::string const& aZone,
            ZoneState aState,
            PlatformOptions const& aOptions);
/// Starts or ends the draining of an upstream.
int SetUpstream(std::string const& aUpstream,
                UpstreamAdminState aState,
                PlatformOptions const& aOptions);
/// Prints the status of entry VMs and of their upstreams.
int ShowStatus(std::vector<std::string> const& aEntries, bool aJson);
/// Explains the steering decision for a flow.
int ExplainFlow(std::string const& aEntry,
                std::string const& aService,
                std::string const& aFlow,
                std::string const& aProtocol,
                bool aJson);

/// Returns the content of a file. Fails with `NotFound`.
Result<std::string> ReadFile(std::string const& aFile);

} // namespace tarragonsill

#endif // TARRAGONSILL_CLI_HPP_INCLUDED
