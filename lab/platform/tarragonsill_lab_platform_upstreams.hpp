#ifndef TARRAGONSILL_LAB_PLATFORM_UPSTREAMS_HPP_INCLUDED
#define TARRAGONSILL_LAB_PLATFORM_UPSTREAMS_HPP_INCLUDED

#include "tarragonsill/platform/tarragonsill_platform_packet.hpp"
#include "tarragonsill/transport/tarragonsill_udp_socket.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Stand-ins for the operators' upstreams. They receive packets of flows over
/// UDP and answer the callers directly.
namespace tarragonsill::Lab {

/// Serializes a packet, head and data, in the platform's layout.
std::vector<std::byte> MakePacket(FlowPacket const& aPacket);

class PlatformUpstream
{
public:
  /// Binds the address. Fails with `SystemFailure`.
  static Result<PlatformUpstream> Start(Endpoint aAddress,
                                        std::uint64_t aIdentity,
                                        std::uint16_t aCallerPort);

  /// Receives and answers all pending packets.
  void Poll();
  /// A silent upstream accepts connections but answers no packets.
  void SetSilent(bool aIsSilent) { mIsSilent = aIsSilent; }
  /// Stands still until a time: the kernel queues packets and connections, and
  /// all of them are handled afterwards.
  void Suspend(TimePoint aUntil) { mSuspendedUntil = aUntil; }
  bool IsSuspended(TimePoint aNow) const { return aNow < mSuspendedUntil; }
  /// Stops without notice and closes both sockets.
  void Crash();
  bool HasCrashed() const { return mHasCrashed; }

  std::uint64_t OpenedFlows() const { return mOpenedFlows; }
  /// Counts received packets of flows that were not opened here, or that were
  /// opened at another upstream.
  std::uint64_t UnknownFlowPackets() const { return mUnknownFlowPackets; }
  /// Returns and clears the callers of such packets since the last call.
  std::vector<Endpoint> TakeUnknownCallers()
  {
    return std::exchange(mUnknownCallers, {});
  }

private:
  struct Flow
  {
    std::uint32_t mNextSequence = 0;
    /// Sequence number of the caller's next byte.
    std::uint32_t mExpectedSequence = 0;
    bool mIsOpen = false;
  };

  PlatformUpstream(UdpSocket aSocket,
                   FileDescriptor aListener,
                   std::uint64_t aIdentity,
                   std::uint16_t aCallerPort);
  void HandlePacket(FlowPacket const& aPacket);
  void Answer(FlowPacket const& aPacket, Flow const& aFlow, FlowPacket aAnswer);

  std::optional<UdpSocket> mSocket;
  /// Accepts the connections of active health checks.
  FileDescriptor mListener;
  std::uint64_t mIdentity;
  std::uint16_t mCallerPort;
  std::map<Endpoint, Flow> mFlows; ///< By caller.
  bool mIsSilent = false;
  TimePoint mSuspendedUntil{};
  bool mHasCrashed = false;
  std::uint64_t mOpenedFlows = 0;
  std::uint64_t mUnknownFlowPackets = 0;
  std::vector<Endpoint> mUnknownCallers;
};

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_PLATFORM_UPSTREAMS_HPP_INCLUDED
