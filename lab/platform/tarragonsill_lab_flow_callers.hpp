#ifndef TARRAGONSILL_LAB_FLOW_CALLERS_HPP_INCLUDED
#define TARRAGONSILL_LAB_FLOW_CALLERS_HPP_INCLUDED

#include "tarragonsill/platform/tarragonsill_platform_packet.hpp"
#include "tarragonsill/transport/tarragonsill_udp_socket.hpp"

#include <utility>
#include <vector>

/// Stand-ins of callers behind the platform's routers: long flows with one
/// request after the other, each packet sent to a VM by a hash of the flow.
namespace tarragonsill::Lab {

/// What callers saw.
struct FlowCallerReport
{
  std::uint64_t mOpened = 0;
  std::uint64_t mAnswers = 0;
  std::uint64_t mResets = 0;  ///< Open flows that ended with a reset.
  std::uint64_t mStalled = 0; ///< Requests without an answer for 3 s.
  std::uint64_t mRefused = 0; ///< Opening packets answered by a reset.
};

/// What became of an opening or of an open flow.
struct FlowEvent
{
  enum class Kind
  {
    Opened,
    Refused,
    Reset,
    Stalled,
  };
  Kind mKind = Kind::Opened;
  Endpoint mRoute;
  Endpoint mFirstVm; ///< That was given the opening packet first.
  std::uint32_t mCookie = 0;
  TimePoint mFirstSentAt{}; ///< When the opening or the request was sent first.
  bool mReachedOtherVms = false; ///< Copies went to other VMs, too.
};

class FlowCallers
{
public:
  /// Binds the callers' address; the reason is `SystemFailure`.
  static Result<FlowCallers> Start(Endpoint aAddress);

  /// The VMs to which packets go, in a fixed order.
  void SetRotation(std::vector<Endpoint> aVms) { mVms = std::move(aVms); }
  /// Opens one more flow towards a route.
  void Open(TimePoint aNow, Endpoint aRoute);
  /// Sends what is due and takes what came.
  void Poll(TimePoint aNow);

  FlowCallerReport const& Report() const { return mReport; }
  /// Takes a reset that no one sent, on some open flow.
  void InjectReset();
  /// Everything that happened since the last call.
  std::vector<FlowEvent> TakeEvents() { return std::exchange(mEvents, {}); }

private:
  struct Flow
  {
    Endpoint mCaller;
    Endpoint mRoute;
    std::uint32_t mSequence = 1;
    std::uint32_t mAcknowledged = 0;
    std::uint32_t mCookie = 0;
    std::uint32_t mSendCount = 0;
    Endpoint mFirstVm;
    bool mReachedOtherVms = false;
    bool mIsOpen = false;
    bool mIsAwaitingAnswer = true;
    bool mHasEnded = false;
    TimePoint mFirstSentAt{};
    TimePoint mNextSend{};
  };

  FlowCallers(UdpSocket aSocket, Endpoint aAddress);
  void Send(Flow& aFlow, bool aIsRequest);
  void RecordEvent(Flow const& aFlow, FlowEvent::Kind aKind);
  void SendDue(TimePoint aNow, Flow& aFlow);
  void HandlePacket(TimePoint aNow, FlowPacket const& aPacket);

  UdpSocket mSocket;
  Endpoint mAddress;
  std::vector<Endpoint> mVms;
  std::vector<Flow> mFlows;
  std::uint16_t mNextPort = 10000;
  FlowCallerReport mReport;
  std::vector<FlowEvent> mEvents;
};

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_FLOW_CALLERS_HPP_INCLUDED
