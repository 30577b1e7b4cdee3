#ifndef TARRAGONSILL_LAB_NODE_PROCESS_HPP_INCLUDED
#define TARRAGONSILL_LAB_NODE_PROCESS_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_address.hpp"
#include "tarragonsill/state/tarragonsill_reason.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstdint>
#include <string>
#include <vector>

#include <sys/types.h>

/// A real `tarragonsill node` process with the platform's settings.
namespace tarragonsill::Lab {

/// Where a VM listens, and what it is told.
struct NodeProcessOptions
{
  std::string mName;
  std::string mZone;
  std::vector<std::string> mZones;
  Ipv4Address mAddress;
  Endpoint mStore;
  std::vector<Endpoint> mSeeds;
  bool mIsFirstStart = false;
  /// Mechanisms that are switched off, by comma; empty for none.
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
  /// Settings and log go to the directory.
  NodeProcess(std::string aProgram,
              std::string aDirectory,
              NodeProcessOptions aOptions);
  NodeProcess(NodeProcess&& aOther) noexcept;
  /// Ends the process.
  ~NodeProcess();

  /// The reason is `SystemFailure`.
  Result<Done> Start();
  /// Sends a signal, if it runs.
  void Signal(int aSignal) const;
  /// Kills it and waits for its end.
  void Kill();
  /// Whether it runs; takes note of its end.
  bool IsRunning();
  bool HasExitedWithError() const { return mHasExitedWithError; }

  NodeProcessOptions& Options() { return mOptions; }
  std::string LogFile() const;
  /// Memory of its own, without files that are mapped; 0 if it does not run.
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
