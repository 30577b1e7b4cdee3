#ifndef TARRAGONSILL_CONNECT_PROBER_HPP_INCLUDED
#define TARRAGONSILL_CONNECT_PROBER_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_active_health_checker.hpp"
#include "tarragonsill/state/tarragonsill_address.hpp"
#include "tarragonsill/transport/tarragonsill_file_descriptor.hpp"

#include <vector>

/// Probes whether upstreams accept TCP connections. If one does not answer, its
/// host is probed as well: the queue of new connections of an upstream that
/// stands still may be full. Never blocks, so that the packet thread can poll
/// for results between packets.
namespace tarragonsill {

class ConnectProber
{
public:
  /// Within a region, connections are accepted in a few milliseconds. A second
  /// attempt follows, so that one lost packet does not fail a probe.
  static constexpr milliseconds kSecondAttemptDelay{ 60 };
  static constexpr milliseconds kProbeTimeout{ 150 };
  /// The discard port. A host that runs refuses connections to a closed port,
  /// or accepts them to an open one.
  static constexpr std::uint16_t kHostCheckPort = 9;

  struct Result
  {
    std::uint32_t mSlot = 0;
    ConnectResult mResult = ConnectResult::NoAnswer;
  };

  /// Starts to connect to an upstream; no data is sent on the connection.
  void StartProbe(TimePoint aNow, std::uint32_t aSlot, Endpoint aAddress);
  /// Sets an upstream that answers flows, if there is any. Where packets to
  /// closed ports are filtered, its host does not answer either, and a host's
  /// lack of an answer shows nothing.
  void SetReference(std::optional<Endpoint> aAddress)
  {
    mReference = { aAddress, {} };
  }
  /// Returns the results of finished probes.
  std::vector<Result> Poll(TimePoint aNow);
  /// Discards all pending probes.
  void Clear()
  {
    mProbes.clear();
    mReference = {};
  }
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
    /// Two at once, so that one lost packet does not make a host silent.
    std::vector<Attempt> mHostChecks;
    TimePoint mDeadline{}; ///< Unset before the second attempt.
  };
  struct Reference
  {
    std::optional<Endpoint> mAddress;
    std::vector<Attempt> mHostChecks;
  };

  static Attempt Connect(Endpoint aAddress);
  static void UpdateAttempt(Attempt& aAttempt);
  static std::vector<Attempt> CheckHost(Endpoint aAddress);
  /// Whether a host has answered.
  static bool HasAnswered(std::vector<Attempt>& aHostChecks);
  std::optional<ConnectResult> ResultOf(TimePoint aNow, Probe& aProbe);
  void StartSecondAttempt(TimePoint aNow, Probe& aProbe);

  std::vector<Probe> mProbes;
  Reference mReference;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_CONNECT_PROBER_HPP_INCLUDED
