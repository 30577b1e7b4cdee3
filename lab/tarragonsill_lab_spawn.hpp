#ifndef TARRAGONSILL_LAB_SPAWN_HPP_INCLUDED
#define TARRAGONSILL_LAB_SPAWN_HPP_INCLUDED

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

/// Child processes of the lab. SIGTERM and SIGINT to the lab also kill the
/// child processes that still run.
namespace tarragonsill::Lab {

/// Where the standard output and standard error of a child process go.
struct SpawnOutput
{
  /// Standard output is appended to this file. If unset, it is inherited.
  std::optional<std::string> mFile;
  bool mIncludesStandardError = false; ///< Redirects it to the file, too.
};

/// Starts a program, which inherits only the standard streams. Returns its
/// process id, or 0 if it cannot be started.
pid_t Spawn(std::string const& aProgram,
            std::vector<std::string> const& aArguments,
            SpawnOutput const& aOutput);

/// Waits until a child process has exited and returns its wait status.
int WaitForExit(pid_t aPid);
/// Returns the wait status of a child process, or nothing while it runs.
std::optional<int> PollExitStatus(pid_t aPid);

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_SPAWN_HPP_INCLUDED
