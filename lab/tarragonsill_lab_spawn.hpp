#ifndef TARRAGONSILL_LAB_SPAWN_HPP_INCLUDED
#define TARRAGONSILL_LAB_SPAWN_HPP_INCLUDED

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

/// Processes that the lab starts. Those that still run are killed when the lab
/// itself is ended by a signal.
namespace tarragonsill::Lab {

/// Where standard output and standard error of a process go.
struct SpawnOutput
{
  /// Standard output is appended to this file; nothing: it is the lab's own.
  std::optional<std::string> mFile;
  bool mIncludesStandardError = false; ///< Standard error goes there, too.
};

/// Starts a program with its arguments; it inherits nothing but the standard
/// streams. 0 if it cannot be started.
pid_t Spawn(std::string const& aProgram,
            std::vector<std::string> const& aArguments,
            SpawnOutput const& aOutput);

/// Waits for the end of a process that was spawned; returns its wait status.
int WaitForExit(pid_t aPid);
/// The wait status of a process that was spawned, once it has ended.
std::optional<int> PollExitStatus(pid_t aPid);

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_SPAWN_HPP_INCLUDED
