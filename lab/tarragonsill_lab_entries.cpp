#include "tarragonsill_lab_entries.hpp"

#include "tarragonsill_lab_spawn.hpp"

#include <csignal>
#include <fstream>

#include <httplib.h>
#include <nlohmann/json.hpp>
#include <sys/wait.h>
#include <unistd.h>

namespace tarragonsill::Lab {

namespace {

constexpr std::uint32_t kLoopback = 127U << 24;
constexpr std::uint32_t kFirstEntryNetwork = 20;
constexpr std::uint32_t kFirstCallNetwork = 30;
constexpr std::uint16_t kDataPort = 6081;
constexpr std::uint16_t kControlPort = 7946;
constexpr std::uint16_t kCallsPort = 7947;
constexpr std::uint16_t kMetricsPort = 9100;
constexpr std::uint16_t kPlatformPort = 8080;
constexpr std::uint32_t kFabricHostPart = 0x0201;
constexpr std::uint32_t kPlatformHostPart = 0x0301;
constexpr milliseconds kStatusTimeout{ 500 };

std::string
ToText(Prefix const& aPrefix)
{
  return tarragonsill::ToText(aPrefix.mAddress) + "/" +
         std::to_string(aPrefix.mLength);
}

} // namespace

Prefix
RunNetwork::Range() const
{
  return { { kLoopback | (mNumber << 16) }, 16 };
}

Endpoint
RunNetwork::FabricAddress() const
{
  return { { Range().mAddress.mValue | kFabricHostPart }, kDataPort };
}

Endpoint
RunNetwork::PlatformAddress() const
{
  return { { Range().mAddress.mValue | kPlatformHostPart }, kPlatformPort };
}

Prefix
RunNetwork::EntryNetwork(std::size_t aZone) const
{
  auto const thirdOctet =
    kFirstEntryNetwork + static_cast<std::uint32_t>(aZone);
  return { { Range().mAddress.mValue | (thirdOctet << 8) }, 24 };
}

Prefix
RunNetwork::CallNetwork(std::size_t aZone) const
{
  auto const thirdOctet = kFirstCallNetwork + static_cast<std::uint32_t>(aZone);
  return { { Range().mAddress.mValue | (thirdOctet << 8) }, 24 };
}

EntryFleet::EntryFleet(Options aOptions)
  : mOptions(std::move(aOptions))
{
  mEntries.reserve(kMaxEntries);
}

EntryFleet::~EntryFleet()
{
  for (auto& entry : mEntries) {
    Kill(entry);
  }
}

Result<EntryProcess*>
EntryFleet::Add()
{
  if (mEntries.size() == kMaxEntries) {
    return Reason{ ReasonCode::LimitReached,
                   "the run has the maximum number of entry VMs" };
  }
  auto const index = mEntries.size();
  auto const zone = index % mOptions.mZones.size();
  EntryProcess entry;
  auto& settings = entry.mSettings;
  auto address = mOptions.mNetwork.EntryNetwork(zone).mAddress;
  address.mValue += static_cast<std::uint32_t>(index) + 1;
  settings.mZone = mOptions.mZones[zone];
  settings.mEntry = settings.mZone + "-entry-" +
                    std::to_string(index / mOptions.mZones.size() + 1);
  settings.mData = { address, kDataPort };
  settings.mControl = { address, kControlPort };
  settings.mCalls = { address, kCallsPort };
  settings.mMetrics = { address, kMetricsPort };
  entry.mSettingsFile = mOptions.mDirectory + "/" + settings.mEntry + ".yaml";
  for (auto const& other : mEntries) {
    settings.mSeeds.push_back(other.mSettings.mControl);
  }
  WriteSettings(entry);
  entry.mPid = Spawn(
    mOptions.mProgram, { "entry", "--settings", entry.mSettingsFile }, {});
  if (entry.mPid <= 0) {
    return Reason{ ReasonCode::SystemFailure,
                   "cannot start " + mOptions.mProgram };
  }
  mEntries.push_back(std::move(entry));
  return &mEntries.back();
}

void
EntryFleet::WriteSettings(EntryProcess const& aEntry) const
{
  auto const& settings = aEntry.mSettings;
  using tarragonsill::ToText;
  std::ofstream out(aEntry.mSettingsFile, std::ios::trunc);
  out << "entry: " << settings.mEntry << "\nzone: " << settings.mZone
      << "\ndeployment: " << mOptions.mDeployment
      << "\ndata: " << ToText(settings.mData)
      << "\ncontrol: " << ToText(settings.mControl)
      << "\ncalls: " << ToText(settings.mCalls)
      << "\nmetrics: " << ToText(settings.mMetrics) << "\nfabric: ["
      << ToText(mOptions.mNetwork.FabricAddress()) << "]\npeers: ["
      << Lab::ToText(mOptions.mNetwork.Range()) << "]\nseeds: [";
  char const* separator = "";
  for (auto const& seed : settings.mSeeds) {
    out << separator << ToText(seed);
    separator = ", ";
  }
  out << "]\ndenied: [";
  separator = "";
  for (auto const& denied : settings.mDenied) {
    out << separator << Lab::ToText(denied);
    separator = ", ";
  }
  out << "]\nplatform:\n  address: "
      << ToText(mOptions.mNetwork.PlatformAddress())
      << "\nlog:\n  level: " << mOptions.mLogLevel
      << "\n  file: " << mOptions.mDirectory << "/" << settings.mEntry
      << ".log\n";
}

EntryProcess*
EntryFleet::Find(std::string const& aName)
{
  for (auto& entry : mEntries) {
    if (entry.mSettings.mEntry == aName) {
      return &entry;
    }
  }
  return nullptr;
}

void
EntryFleet::Reap(EntryProcess& aEntry)
{
  (void)WaitForExit(aEntry.mPid);
  aEntry.mPid = 0;
}

void
EntryFleet::Kill(EntryProcess& aEntry)
{
  if (aEntry.mPid <= 0) {
    return;
  }
  ::kill(aEntry.mPid, SIGKILL);
  Reap(aEntry);
}

void
EntryFleet::Stop(EntryProcess& aEntry)
{
  if (aEntry.mPid <= 0) {
    return;
  }
  ::kill(aEntry.mPid, SIGTERM);
  Reap(aEntry);
}

void
EntryFleet::Pause(EntryProcess& aEntry)
{
  if (aEntry.mPid > 0) {
    aEntry.mPaused = true;
    ::kill(aEntry.mPid, SIGSTOP);
  }
}

void
EntryFleet::Resume(EntryProcess& aEntry)
{
  if (aEntry.mPid > 0) {
    ::kill(aEntry.mPid, SIGCONT);
    aEntry.mPaused = false;
  }
}

void
EntryFleet::ApplyZoneCuts(std::vector<bool> const& aIsCut)
{
  for (std::size_t index = 0; index < mEntries.size(); ++index) {
    auto& entry = mEntries[index];
    auto const ownZone = index % mOptions.mZones.size();
    std::vector<Prefix> denied;
    for (std::size_t zone = 0; zone < aIsCut.size(); ++zone) {
      if (zone == ownZone || (!aIsCut[ownZone] && !aIsCut[zone])) {
        continue;
      }
      denied.push_back(mOptions.mNetwork.EntryNetwork(zone));
      denied.push_back(mOptions.mNetwork.CallNetwork(zone));
    }
    if (aIsCut[ownZone]) {
      denied.push_back({ mOptions.mNetwork.PlatformAddress().mAddress, 32 });
    }
    entry.mSettings.mDenied = denied;
    WriteSettings(entry);
    if (entry.mPid > 0) {
      ::kill(entry.mPid, SIGHUP);
    }
  }
}

std::optional<EntryStatus>
EntryFleet::ReadStatus(EntryProcess const& aEntry)
{
  auto const& address = aEntry.mSettings.mMetrics;
  httplib::Client client(tarragonsill::ToText(address.mAddress), address.mPort);
  client.set_connection_timeout(kStatusTimeout);
  client.set_read_timeout(kStatusTimeout);
  auto const answer = client.Get("/status");
  if (!answer) {
    return std::nullopt;
  }
  auto const json = nlohmann::json::parse(answer->body, nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  EntryStatus status;
  status.mStage = json.value("stage", "");
  status.mVersion = json.value("configuration_version", std::uint64_t{ 0 });
  status.mLeases = json.value("leases", std::uint64_t{ 0 });
  for (auto const& [name, value] : json["counters"].items()) {
    if (name == "tarragonsill_control_bytes_sent_total") {
      status.mControlBytes = value.get<std::uint64_t>();
    }
    if (name.starts_with("tarragonsill_drop_")) {
      status.mDrops += value.get<std::uint64_t>();
    }
  }
  return status;
}

std::optional<ProcessUsage>
EntryFleet::ReadUsage(EntryProcess const& aEntry)
{
  auto const directory = "/proc/" + std::to_string(aEntry.mPid);
  std::ifstream memory(directory + "/statm");
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  if (!(memory >> total >> resident)) {
    return std::nullopt;
  }
  std::ifstream processor(directory + "/stat");
  std::string field;
  std::uint64_t user = 0;
  std::uint64_t system = 0;
  // Fields 14 and 15 are the times in user and kernel mode (proc(5)).
  for (int skipped = 0; skipped < 13; ++skipped) {
    processor >> field;
  }
  if (!(processor >> user >> system)) {
    return std::nullopt;
  }
  auto const pageBytes = static_cast<double>(::sysconf(_SC_PAGESIZE));
  auto const ticks = static_cast<std::uint64_t>(::sysconf(_SC_CLK_TCK));
  ProcessUsage usage;
  usage.mResidentMegabytes =
    static_cast<double>(resident) * pageBytes / (1024 * 1024);
  usage.mProcessorTime = milliseconds{ (user + system) * 1000 / ticks };
  return usage;
}

int
EntryFleet::RunCommand(std::vector<std::string> const& aArguments) const
{
  auto const pid = Spawn(mOptions.mProgram, aArguments, { "/dev/null", false });
  if (pid <= 0) {
    return -1;
  }
  int const status = WaitForExit(pid);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

} // namespace tarragonsill::Lab
