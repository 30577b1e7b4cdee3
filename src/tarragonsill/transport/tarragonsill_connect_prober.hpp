#ifndef TARRAGONSILL_CONNECT_PROBER_HPP_INCLUDED
#define TARRAGONSILL_CONNECT_PROBER_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_active_health_checker.hpp"
#include "tarragonsill/state/tarragonsill_address.hpp"
#include "tarragonsill/transport/tarragonsill_file_descriptor.hpp"

#include <vector>

/// Probes whether upstreams accept TCP connections. Never blocks, so that the
/// packet thread can poll for results between packets.
namespace tarragonsill {

class ConnectProber
{
public:
  /// Within a region, connections are accepted in a few milliseconds. A second
  /// attempt follows, so that one lost packet does not fail a probe.
  static constexpr milliseconds kSecondAttemptDelay{ 60 };
  static constexpr milliseconds kProbeTimeout{ 150 };

  struct Result
  {
    std::uint32_t mSlot = 0;
    ConnectResult mResult = ConnectResult::NoAnswer;
  };

  /// Starts to connect to an upstream; no data is sent on the connection.
  void StartProbe(TimePoint aNow, std::uint32_t aSlot, Endpoint aAddress);
  /// Returns the results of finished probes.
  std::vector<Result> Poll(TimePoint aNow);
  /// Discards all pending probes.
  void Clear() { mProbes.clear(); }
  bool HasPendingProbes() const { return !mProbes.empty(); }

private:
  struct Attempt
  {
    FileDescriptor mSocket;
    std::optional<ConnectResult> mResult;
  };
  struct Probe
  {
    std::uint32_t mSlot = 0;
    Endpoint mAddress;
    TimePoint mStartTime{};
    std::vector<Attempt> mAttempts;
  };

  static Attempt Connect(Endpoint aAddress);
  static void UpdateAttempt(Attempt& aAttempt);
  static std::optional<ConnectResult> ResultOf(TimePoint aNow, Probe& aProbe);

  std::vector<Probe> mProbes;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_CONNECT_PROBER_HPP_INCLUDED
