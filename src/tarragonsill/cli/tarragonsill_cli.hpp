#ifndef TARRAGONSILL_CLI_HPP_INCLUDED
#define TARRAGONSILL_CLI_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_configuration.hpp"
#include "tarragonsill/state/tarragonsill_reason.hpp"
#include "tarragonsill/transport/tarragonsill_platform_client.hpp"

#include <string>
#include <vector>

/// The commands of the `tarragonsill` program. Each returns its exit status.
namespace tarragonsill {

/// Exit statuses of the commands.
struct ExitStatus
{
  static constexpr int kOk = 0;
  /// The input was read and is refused, or the operation did not take place.
  static constexpr int kRefused = 1;
  /// The input cannot be read, or the outcome is not known.
  static constexpr int kFailure = 2;
};

/// Where an operator's commands reach the platform.
struct PlatformOptions
{
  std::string mAddress;    ///< `ADDRESS:PORT`.
  std::string mDeployment; ///< Empty: taken from the file.
  bool mJson = false;
};

/// Runs an entry VM until SIGTERM or SIGINT.
int RunEntry(std::string const& aSettingsFile);
/// Runs an entry VM on the operators' platform until SIGTERM or SIGINT. An
/// empty name means the file that the platform names in the environment.
/// With a metrics port, metrics are served there instead of the settings' port.
int RunNode(std::string const& aSettingsFile,
            std::uint16_t aMetricsPort,
            std::vector<std::string> const& aWithout);
/// Checks a configuration or settings file.
int CheckFile(std::string const& aFile, bool aJson);
/// Puts a configuration into force.
int ApplyFile(std::string const& aFile, PlatformOptions const& aOptions);
/// Takes a zone out of service or back.
int SetZone(std::string const& aZone,
            ZoneState aState,
            PlatformOptions const& aOptions);
/// Starts or ends the draining of an upstream.
int SetUpstream(std::string const& aUpstream,
                UpstreamAdminState aState,
                PlatformOptions const& aOptions);
/// Shows what entry VMs report about themselves.
int ShowStatus(std::vector<std::string> const& aEntries, bool aJson);
/// Explains where a flow goes.
int ExplainFlow(std::string const& aEntry,
                std::string const& aService,
                std::string const& aFlow,
                std::string const& aProtocol,
                bool aJson);

/// Reads a whole file; the reason is `NotFound`.
Result<std::string> ReadFile(std::string const& aFile);

} // namespace tarragonsill

#endif // TARRAGONSILL_CLI_HPP_INCLUDED
