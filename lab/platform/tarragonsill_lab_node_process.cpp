#include "tarragonsill_lab_node_process.hpp"

#include "tarragonsill_lab_spawn.hpp"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <utility>

#include <sys/wait.h>
#include <unistd.h>

namespace tarragonsill::Lab {

namespace {

std::string
TomlString(std::string const& aText)
{
  return "\"" + aText + "\"";
}

std::string
TomlArray(std::vector<Endpoint> const& aAddresses)
{
  std::string array;
  for (auto const& address : aAddresses) {
    array += (array.empty() ? "" : ",") + TomlString(ToText(address));
  }
  return "[" + array + "]";
}

} // namespace

NodeProcess::NodeProcess(std::string aProgram,
                         std::string aDirectory,
                         NodeProcessOptions aOptions)
  : mProgram(std::move(aProgram))
  , mDirectory(std::move(aDirectory))
  , mOptions(std::move(aOptions))
{
}

NodeProcess::NodeProcess(NodeProcess&& aOther) noexcept
  : mProgram(std::move(aOther.mProgram))
  , mDirectory(std::move(aOther.mDirectory))
  , mOptions(std::move(aOther.mOptions))
  , mPid(std::exchange(aOther.mPid, 0))
  , mHasExitedWithError(aOther.mHasExitedWithError)
{
}

NodeProcess::~NodeProcess()
{
  Kill();
}

std::string
NodeProcess::LogFile() const
{
  return mDirectory + "/" + mOptions.mName + ".log";
}

void
NodeProcess::WriteSettings() const
{
  std::ofstream file(mDirectory + "/" + mOptions.mName + ".toml");
  file << "nodeName = " << TomlString(mOptions.mName)
       << "\nzone = " << TomlString(mOptions.mZone) << "\ninternalPortRange = ["
       << NodeProcessOptions::kFirstInternalPort << ", "
       << NodeProcessOptions::kFirstInternalPort + 15
       << "]\nseeds = " << TomlArray(mOptions.mSeeds)
       << "\nbootstrap = " << (mOptions.mIsFirstStart ? "true" : "false")
       << "\nheartbeatIntervalMs = 1200\n[zones]\n";
  for (auto const& zone : mOptions.mZones) {
    file << zone << " = \"region\"\n";
  }
  file << "[listen]\npacketAddr = " << TomlString(ToText(mOptions.Packets()))
       << "\nready = " << TomlString(ToText(mOptions.Readiness()))
       << "\n[platform]\naddress = " << TomlString(ToText(mOptions.mStore))
       << "\n[bounds]\ngraceS = 6\nmaxFlowS = 60\n";
}

Result<Success>
NodeProcess::Start()
{
  WriteSettings();
  auto const settings = mDirectory + "/" + mOptions.mName + ".toml";
  std::vector<std::string> arguments = { "node", "--settings", settings };
  if (!mOptions.mDisabledMechanisms.empty()) {
    arguments.insert(arguments.end(),
                     { "--without", mOptions.mDisabledMechanisms });
  }
  mPid = Spawn(mProgram, arguments, { LogFile(), true });
  if (mPid == 0) {
    return Reason{ ReasonCode::SystemFailure, "cannot start " + mProgram };
  }
  return Success{};
}

void
NodeProcess::Signal(int aSignal) const
{
  if (mPid > 0) {
    ::kill(mPid, aSignal);
  }
}

void
NodeProcess::Kill()
{
  if (mPid <= 0) {
    return;
  }
  ::kill(mPid, SIGKILL);
  (void)WaitForExit(mPid);
  mPid = 0;
}

bool
NodeProcess::IsRunning()
{
  if (mPid <= 0) {
    return false;
  }
  auto const ended = PollExitStatus(mPid);
  if (!ended) {
    return true;
  }
  int const status = *ended;
  mPid = 0;
  // SIGTERM kills a process that has not yet installed its handler.
  bool const isTerminated = WIFSIGNALED(status) && WTERMSIG(status) == SIGTERM;
  bool const isClean =
    isTerminated || (WIFEXITED(status) && WEXITSTATUS(status) == 0);
  mHasExitedWithError = mHasExitedWithError || !isClean;
  return false;
}

std::uint64_t
NodeProcess::MemoryBytes() const
{
  constexpr std::uint64_t kBytesPerKilobyte = 1024;
  std::ifstream file("/proc/" + std::to_string(mPid) + "/status");
  std::string key;
  std::uint64_t kilobytes = 0;
  while (file >> key) {
    if (key == "RssAnon:") {
      file >> kilobytes;
      break;
    }
  }
  return kilobytes * kBytesPerKilobyte;
}

std::size_t
NodeProcess::OpenDescriptors() const
{
  std::error_code error;
  std::filesystem::directory_iterator const files(
    "/proc/" + std::to_string(mPid) + "/fd", error);
  return error
           ? 0
           : static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

} // namespace tarragonsill::Lab
