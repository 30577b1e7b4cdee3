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
Quoted(std::string const& aText)
{
  return "\"" + aText + "\"";
}

std::string
ListOf(std::vector<Endpoint> const& aAddresses)
{
  std::string list;
  for (auto const& address : aAddresses) {
    list += (list.empty() ? "" : ",") + Quoted(ToText(address));
  }
  return "[" + list + "]";
}

} // namespace

NodeProcess::NodeProcess(std::string aProgram,
                         std::string aDirectory,
                         NodePlace aPlace)
  : mProgram(std::move(aProgram))
  , mDirectory(std::move(aDirectory))
  , mPlace(std::move(aPlace))
{
}

NodeProcess::NodeProcess(NodeProcess&& aOther) noexcept
  : mProgram(std::move(aOther.mProgram))
  , mDirectory(std::move(aOther.mDirectory))
  , mPlace(std::move(aOther.mPlace))
  , mPid(std::exchange(aOther.mPid, 0))
  , mHasExitedBadly(aOther.mHasExitedBadly)
{
}

NodeProcess::~NodeProcess()
{
  Kill();
}

std::string
NodeProcess::LogFile() const
{
  return mDirectory + "/" + mPlace.mName + ".log";
}

void
NodeProcess::WriteSettings() const
{
  std::ofstream file(mDirectory + "/" + mPlace.mName + ".toml");
  file << "nodeName = " << Quoted(mPlace.mName)
       << "\nzone = " << Quoted(mPlace.mZone) << "\ninternalPortRange = ["
       << NodePlace::kFirstInternalPort << ", "
       << NodePlace::kFirstInternalPort + 15
       << "]\nseeds = " << ListOf(mPlace.mSeeds)
       << "\nbootstrap = " << (mPlace.mIsFirstStart ? "true" : "false")
       << "\nheartbeatIntervalMs = 1200\n[zones]\n";
  for (auto const& zone : mPlace.mZones) {
    file << zone << " = \"region\"\n";
  }
  file << "[listen]\npacketAddr = " << Quoted(ToText(mPlace.Packets()))
       << "\nready = " << Quoted(ToText(mPlace.Readiness()))
       << "\n[platform]\naddress = " << Quoted(ToText(mPlace.mStore))
       << "\n[bounds]\ngraceS = 6\nmaxFlowS = 60\n";
}

Result<Success>
NodeProcess::Start()
{
  WriteSettings();
  auto const settings = mDirectory + "/" + mPlace.mName + ".toml";
  std::vector<std::string> arguments = { "node", "--settings", settings };
  if (!mPlace.mWithout.empty()) {
    arguments.insert(arguments.end(), { "--without", mPlace.mWithout });
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
  // A process that has hardly begun may end by the signal itself.
  bool const isStopped = WIFSIGNALED(status) && WTERMSIG(status) == SIGTERM;
  bool const isClean =
    isStopped || (WIFEXITED(status) && WEXITSTATUS(status) == 0);
  mHasExitedBadly = mHasExitedBadly || !isClean;
  return false;
}

std::uint64_t
NodeProcess::MemoryBytes() const
{
  constexpr std::uint64_t kKilobyte = 1024;
  std::ifstream file("/proc/" + std::to_string(mPid) + "/status");
  std::string word;
  std::uint64_t kilobytes = 0;
  while (file >> word) {
    if (word == "RssAnon:") {
      file >> kilobytes;
      break;
    }
  }
  return kilobytes * kKilobyte;
}

std::size_t
NodeProcess::OpenDescriptors() const
{
  std::error_code failure;
  std::filesystem::directory_iterator const files(
    "/proc/" + std::to_string(mPid) + "/fd", failure);
  return failure
           ? 0
           : static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

} // namespace tarragonsill::Lab
