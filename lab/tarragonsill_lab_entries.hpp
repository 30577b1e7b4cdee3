#ifndef TARRAGONSILL_LAB_ENTRIES_HPP_INCLUDED
#define TARRAGONSILL_LAB_ENTRIES_HPP_INCLUDED

#include "tarragonsill/protocol/tarragonsill_settings.hpp"
#include "tarragonsill/state/tarragonsill_reason.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

/// The entry VMs of a run, each a process of the `tarragonsill` program.
namespace tarragonsill::Lab {

/// The process of one entry VM.
struct EntryProcess
{
  Settings mSettings;
  std::string mSettingsFile;
  pid_t mPid = 0; ///< 0 after the process has exited.
  bool mPaused = false;
  bool mIsFabricTarget = false; ///< Whether it gets packets from the fabric.
};

/// The contents of an entry VM's status page.
struct EntryStatus
{
  std::string mStage;
  std::uint64_t mVersion = 0;
  std::uint64_t mLeases = 0;
  std::uint64_t mControlBytes = 0;
  std::uint64_t mDrops = 0;
};

/// Memory and processor time of an entry VM's process.
struct ProcessUsage
{
  double mResidentMegabytes = 0;
  milliseconds mProcessorTime{ 0 };
};

/// The loopback network 127.N.0.0/16 of a run. Concurrent runs use different N.
struct RunNetwork
{
  std::uint32_t mNumber = 0;

  Prefix Range() const;
  Endpoint FabricAddress() const;
  Endpoint PlatformAddress() const;
  /// The network of the entry VMs of a zone.
  Prefix EntryNetwork(std::size_t aZone) const;
  /// The network of the call addresses of the upstreams of a zone.
  Prefix CallNetwork(std::size_t aZone) const;
};

class EntryFleet
{
public:
  static constexpr std::size_t kMaxEntries = 64;

  struct Options
  {
    std::string mProgram;   ///< Path of the `tarragonsill` program.
    std::string mDirectory; ///< Holds settings and logs.
    std::string mDeployment;
    std::vector<std::string> mZones;
    RunNetwork mNetwork;
    std::string mLogLevel;
  };

  explicit EntryFleet(Options aOptions);
  /// Kills the processes that are still running.
  ~EntryFleet();

  /// Starts one more entry VM. Zones are assigned round-robin.
  Result<EntryProcess*> Add();
  std::vector<EntryProcess>& Processes() { return mEntries; }
  EntryProcess* Find(std::string const& aName);

  /// Kills a process and waits until it has exited.
  void Kill(EntryProcess& aEntry);
  /// Sends SIGTERM, so that the entry VM leaves, and waits until it has exited.
  void Stop(EntryProcess& aEntry);
  void Pause(EntryProcess& aEntry);
  void Resume(EntryProcess& aEntry);
  /// Cuts zones off from the other zones and from the platform. `aIsCut` has an
  /// element for each zone.
  void ApplyZoneCuts(std::vector<bool> const& aIsCut);

  /// Reads an entry VM's status page.
  static std::optional<EntryStatus> ReadStatus(EntryProcess const& aEntry);

  /// Reads the usage of a process from /proc.
  static std::optional<ProcessUsage> ReadUsage(EntryProcess const& aEntry);

  /// Runs an operator's command and returns its exit status.
  int RunCommand(std::vector<std::string> const& aArguments) const;

private:
  /// Waits until a process has exited.
  void Reap(EntryProcess& aEntry);
  void WriteSettings(EntryProcess const& aEntry) const;

  Options mOptions;
  std::vector<EntryProcess> mEntries;
};

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_ENTRIES_HPP_INCLUDED
