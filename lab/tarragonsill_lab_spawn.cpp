#include "tarragonsill_lab_spawn.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace tarragonsill::Lab {

namespace {

constexpr std::size_t kMaxProcesses = 512;

/// Ids of the running child processes, or 0. A signal that ends the lab kills
/// them.
std::array<std::atomic<pid_t>, kMaxProcesses> sProcesses{};

extern "C" void
KillProcesses(int)
{
  for (auto const& process : sProcesses) {
    auto const pid = process.load();
    if (pid > 0) {
      ::kill(pid, SIGKILL);
    }
  }
  ::_exit(EXIT_FAILURE);
}

void
ReplaceProcess(pid_t aOld, pid_t aNew)
{
  for (auto& process : sProcesses) {
    auto expected = aOld;
    if (process.compare_exchange_strong(expected, aNew)) {
      return;
    }
  }
}

} // namespace

pid_t
Spawn(std::string const& aProgram,
      std::vector<std::string> const& aArguments,
      SpawnOutput const& aOutput)
{
  std::signal(SIGTERM, KillProcesses);
  std::signal(SIGINT, KillProcesses);
  std::vector<std::string> arguments = { aProgram };
  arguments.insert(arguments.end(), aArguments.begin(), aArguments.end());
  std::vector<char*> pointers;
  for (auto& argument : arguments) {
    pointers.push_back(argument.data());
  }
  pointers.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  if (aOutput.mFile) {
    constexpr mode_t kFileMode = 0644;
    ::posix_spawn_file_actions_addopen(&actions,
                                       STDOUT_FILENO,
                                       aOutput.mFile->c_str(),
                                       O_WRONLY | O_CREAT | O_APPEND,
                                       kFileMode);
  }
  if (aOutput.mIncludesStandardError) {
    ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  }
  // Keeps the child from inheriting the sockets of the stand-ins.
  ::posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  pid_t pid = 0;
  int const error = ::posix_spawn(
    &pid, aProgram.c_str(), &actions, nullptr, pointers.data(), environ);
  ::posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    return 0;
  }
  ReplaceProcess(0, pid);
  return pid;
}

int
WaitForExit(pid_t aPid)
{
  int status = 0;
  ::waitpid(aPid, &status, 0);
  ReplaceProcess(aPid, 0);
  return status;
}

std::optional<int>
PollExitStatus(pid_t aPid)
{
  int status = 0;
  if (::waitpid(aPid, &status, WNOHANG) != aPid) {
    return std::nullopt;
  }
  ReplaceProcess(aPid, 0);
  return status;
}

} // namespace tarragonsill::Lab
