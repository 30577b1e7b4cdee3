#include "tarragonsill_lab_node_process.hpp"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <utility>

#include <fcntl.h>
#include <spawn.h>
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

Result<Done>
NodeProcess::Start()
{
  WriteSettings();
  auto const log = LogFile();
  auto const settings = mDirectory + "/" + mPlace.mName + ".toml";
  std::string node = "node";
  std::string option = "--settings";
  std::string file = settings;
  std::vector<char*> arguments = {
    mProgram.data(), node.data(), option.data(), file.data(), nullptr
  };
  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  ::posix_spawn_file_actions_addopen(
    &actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // The stand-ins' sockets are not the VM's.
  ::posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  auto const failure = ::posix_spawn(
    &mPid, mProgram.c_str(), &actions, nullptr, arguments.data(), environ);
  ::posix_spawn_file_actions_destroy(&actions);
  if (failure != 0) {
    mPid = 0;
    return Reason{ ReasonCode::SystemFailure, "cannot start " + mProgram };
  }
  return Done{};
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
  ::waitpid(mPid, nullptr, 0);
  mPid = 0;
}

bool
NodeProcess::IsRunning()
{
  if (mPid <= 0) {
    return false;
  }
  int status = 0;
  if (::waitpid(mPid, &status, WNOHANG) != mPid) {
    return true;
  }
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
