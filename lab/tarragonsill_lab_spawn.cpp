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

/// The processes to end if the lab itself is ended by a signal.
std::array<std::atomic<pid_t>, kMaxProcesses> sRunning{};

extern "C" void
EndProcesses(int)
{
  for (auto const& running : sRunning) {
    auto const pid = running.load();
    if (pid > 0) {
      ::kill(pid, SIGKILL);
    }
  }
  ::_exit(EXIT_FAILURE);
}

void
Replace(pid_t aOld, pid_t aNew)
{
  for (auto& running : sRunning) {
    auto expected = aOld;
    if (running.compare_exchange_strong(expected, aNew)) {
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
  std::signal(SIGTERM, EndProcesses);
  std::signal(SIGINT, EndProcesses);
  std::vector<std::string> words = { aProgram };
  words.insert(words.end(), aArguments.begin(), aArguments.end());
  std::vector<char*> pointers;
  for (auto& word : words) {
    pointers.push_back(word.data());
  }
  pointers.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  if (aOutput.mFile) {
    constexpr mode_t kReadable = 0644;
    ::posix_spawn_file_actions_addopen(&actions,
                                       STDOUT_FILENO,
                                       aOutput.mFile->c_str(),
                                       O_WRONLY | O_CREAT | O_APPEND,
                                       kReadable);
  }
  if (aOutput.mWithErrors) {
    ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  }
  // The stand-ins' sockets are not the process's.
  ::posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  pid_t pid = 0;
  int const failure = ::posix_spawn(
    &pid, aProgram.c_str(), &actions, nullptr, pointers.data(), environ);
  ::posix_spawn_file_actions_destroy(&actions);
  if (failure != 0) {
    return 0;
  }
  Replace(0, pid);
  return pid;
}

int
WaitForEnd(pid_t aPid)
{
  int status = 0;
  ::waitpid(aPid, &status, 0);
  Replace(aPid, 0);
  return status;
}

std::optional<int>
StatusIfEnded(pid_t aPid)
{
  int status = 0;
  if (::waitpid(aPid, &status, WNOHANG) != aPid) {
    return std::nullopt;
  }
  Replace(aPid, 0);
  return status;
}

} // namespace tarragonsill::Lab
