#ifndef TARRAGONSILL_CONNECT_PROBER_HPP_INCLUDED
#define TARRAGONSILL_CONNECT_PROBER_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_active_health_checker.hpp"
#include "tarragonsill/state/tarragonsill_address.hpp"
#include "tarragonsill/transport/tarragonsill_file_descriptor.hpp"

#include <vector>

/// Finds out whether upstreams take connections. It never waits: answers are
/// picked up between packets.
namespace tarragonsill {

class ConnectProber
{
public:
  /// Connections are accepted within a few milliseconds in a region. One lost
  /// packet must not count, so a second one follows after some time.
  static constexpr milliseconds kSecondAttemptDelay{ 60 };
  static constexpr milliseconds kProbeTimeout{ 150 };

  struct Result
  {
    std::uint32_t mSlot = 0;
    ConnectResult mResult = ConnectResult::NoAnswer;
  };

  /// Starts to connect; nothing is sent on the connection.
  void StartProbe(TimePoint aNow, std::uint32_t aSlot, Endpoint aAddress);
  /// The answers that are in.
  std::vector<Result> Poll(TimePoint aNow);
  /// Forgets what was asked.
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
