#ifndef TARRAGONSILL_LAB_NODE_PROCESS_HPP_INCLUDED
#define TARRAGONSILL_LAB_NODE_PROCESS_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_address.hpp"
#include "tarragonsill/state/tarragonsill_reason.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstdint>
#include <string>
#include <vector>

#include <sys/types.h>

/// A `tarragonsill node` process with a settings file of the platform.
namespace tarragonsill::Lab {

/// The addresses and settings of one entry VM.
struct NodeProcessOptions
{
  std::string mName;
  std::string mZone;
  std::vector<std::string> mZones;
  Ipv4Address mAddress;
  Endpoint mStore;
  std::vector<Endpoint> mSeeds;
  bool mIsFirstStart = false;
  /// Comma-separated mechanisms to disable; may be empty.
  std::string mDisabledMechanisms;

  static constexpr std::uint16_t kPacketPort = 18172;
  static constexpr std::uint16_t kReadinessPort = 18167;
  static constexpr std::uint16_t kControlPort = 18166;
  static constexpr std::uint16_t kFirstInternalPort = 17720;

  Endpoint Packets() const { return { mAddress, kPacketPort }; }
  Endpoint Readiness() const { return { mAddress, kReadinessPort }; }
  Endpoint Control() const { return { mAddress, kControlPort }; }
};

class NodeProcess
{
public:
  /// The settings and log files are written to the directory.
  NodeProcess(std::string aProgram,
              std::string aDirectory,
              NodeProcessOptions aOptions);
  NodeProcess(NodeProcess&& aOther) noexcept;
  /// Kills the process.
  ~NodeProcess();

  /// Fails with `SystemFailure`.
  Result<Success> Start();
  /// Sends a signal if the process is running.
  void Signal(int aSignal) const;
  /// Kills the process and waits until it has exited.
  void Kill();
  /// Whether the process is running. Records whether it exited with an error.
  bool IsRunning();
  bool HasExitedWithError() const { return mHasExitedWithError; }

  NodeProcessOptions& Options() { return mOptions; }
  std::string LogFile() const;
  /// Resident anonymous memory, without mapped files; 0 if not running.
  std::uint64_t MemoryBytes() const;
  std::size_t OpenDescriptors() const;

private:
  void WriteSettings() const;

  std::string mProgram;
  std::string mDirectory;
  NodeProcessOptions mOptions;
  pid_t mPid = 0;
  bool mHasExitedWithError = false;
};

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_NODE_PROCESS_HPP_INCLUDED
