#ifndef TARRAGONSILL_LAB_PLATFORM_UPSTREAMS_HPP_INCLUDED
#define TARRAGONSILL_LAB_PLATFORM_UPSTREAMS_HPP_INCLUDED

#include "tarragonsill/platform/tarragonsill_platform_packet.hpp"
#include "tarragonsill/transport/tarragonsill_udp_socket.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Stand-ins of the operators' upstreams: they take packets of flows over UDP
/// and answer their callers directly.
namespace tarragonsill::Lab {

/// Writes a whole packet in the platform's layout.
std::vector<std::byte> MakePacket(FlowPacket const& aPacket);

/// One upstream.
class PlatformUpstream
{
public:
  /// Binds the address; the reason is `SystemFailure`.
  static Result<PlatformUpstream> Start(Endpoint aAddress,
                                        std::uint64_t aIdentity,
                                        std::uint16_t aCallerPort);

  /// Takes the packets that wait and answers them.
  void Poll();
  /// A silent upstream takes connections, but answers no packet.
  void SetSilent(bool aIsSilent) { mIsSilent = aIsSilent; }
  /// Ends without a word; nothing listens at its address any more.
  void Crash();
  bool HasCrashed() const { return mHasCrashed; }

  std::uint64_t OpenedFlows() const { return mOpenedFlows; }
  /// Packets of flows that it does not hold.
  std::uint64_t UnknownFlowPackets() const { return mUnknownFlowPackets; }

private:
  struct Flow
  {
    std::uint32_t mNextSequence = 0;
    std::uint32_t mExpectedSequence = 0; ///< The caller's next byte.
    bool mIsOpen = false;
  };

  PlatformUpstream(UdpSocket aSocket,
                   FileDescriptor aListener,
                   std::uint64_t aIdentity,
                   std::uint16_t aCallerPort);
  void HandlePacket(FlowPacket const& aPacket);
  void Answer(FlowPacket const& aPacket, Flow const& aFlow, FlowPacket aAnswer);

  std::optional<UdpSocket> mSocket;
  FileDescriptor mListener; ///< For status checks.
  std::uint64_t mIdentity;
  std::uint16_t mCallerPort;
  std::map<Endpoint, Flow> mFlows; ///< By caller.
  bool mIsSilent = false;
  bool mHasCrashed = false;
  std::uint64_t mOpenedFlows = 0;
  std::uint64_t mUnknownFlowPackets = 0;
};

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_PLATFORM_UPSTREAMS_HPP_INCLUDED
