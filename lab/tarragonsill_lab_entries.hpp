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

/// The entry VMs of a run, as real processes of the shipped program.
namespace tarragonsill::Lab {

/// One entry VM's process.
struct EntryProcess
{
  Settings mSettings;
  std::string mSettingsFile;
  pid_t mPid = 0; ///< 0 once it has ended.
  bool mPaused = false;
  bool mIsFabricTarget = false; ///< Whether the fabric sprays to it.
};

/// What an entry VM's status page says.
struct EntryStatus
{
  std::string mStage;
  std::uint64_t mVersion = 0;
  std::uint64_t mLeases = 0;
  std::uint64_t mControlBytes = 0;
  std::uint64_t mDrops = 0;
};

/// What an entry VM's process uses.
struct ProcessUsage
{
  double mResidentMegabytes = 0;
  milliseconds mProcessorTime{ 0 };
};

/// The loopback network 127.N.0.0/16 of a run; runs side by side differ in N.
struct RunNetwork
{
  std::uint32_t mNumber = 0;

  Prefix Range() const;
  Endpoint FabricAddress() const;
  Endpoint PlatformAddress() const;
  /// The network of a zone's entry VMs.
  Prefix EntryNetwork(std::size_t aZone) const;
  /// The network of the call addresses of a zone's upstreams.
  Prefix CallNetwork(std::size_t aZone) const;
};

class EntryFleet
{
public:
  static constexpr std::size_t kMaxEntries = 64;

  struct Options
  {
    std::string mProgram;   ///< Path of the `tarragonsill` program.
    std::string mDirectory; ///< For settings and logs.
    std::string mDeployment;
    std::vector<std::string> mZones;
    RunNetwork mNetwork;
    std::string mLogLevel;
  };

  explicit EntryFleet(Options aOptions);
  /// Kills what is still running.
  ~EntryFleet();

  /// Starts one more entry VM, in the zone whose turn it is.
  Result<EntryProcess*> Add();
  std::vector<EntryProcess>& Processes() { return mEntries; }
  EntryProcess* Find(std::string const& aName);

  /// Ends a process at once.
  void Kill(EntryProcess& aEntry);
  /// Asks a process to leave, and waits until it has ended.
  void Stop(EntryProcess& aEntry);
  void Pause(EntryProcess& aEntry);
  void Resume(EntryProcess& aEntry);
  /// Fences the zones in `aIsCut` off from the others and from the platform.
  void ApplyZoneCuts(std::vector<bool> const& aIsCut);

  /// Reads an entry VM's status page.
  static std::optional<EntryStatus> ReadStatus(EntryProcess const& aEntry);

  /// Reads what the system says of a process.
  static std::optional<ProcessUsage> ReadUsage(EntryProcess const& aEntry);

  /// Runs an operator's command to its end; returns its exit status.
  int RunCommand(std::vector<std::string> const& aArguments) const;

private:
  /// Waits for a process that is ending.
  void Reap(EntryProcess& aEntry);
  void WriteSettings(EntryProcess const& aEntry) const;

  Options mOptions;
  std::vector<EntryProcess> mEntries;
};

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_ENTRIES_HPP_INCLUDED
