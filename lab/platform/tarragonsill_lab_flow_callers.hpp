#ifndef TARRAGONSILL_LAB_FLOW_CALLERS_HPP_INCLUDED
#define TARRAGONSILL_LAB_FLOW_CALLERS_HPP_INCLUDED

#include "tarragonsill/platform/tarragonsill_platform_packet.hpp"
#include "tarragonsill/transport/tarragonsill_udp_socket.hpp"

#include <utility>
#include <vector>

/// Stand-ins for callers behind the platform's routers. Each opens a long flow
/// and sends one request at a time; a hash of the flow selects the VM that gets
/// its packets.
namespace tarragonsill::Lab {

/// Counts what the callers observed.
struct FlowCallerReport
{
  std::uint64_t mOpened = 0;
  std::uint64_t mAnswers = 0;
  std::uint64_t mResets = 0;  ///< Resets of open flows.
  std::uint64_t mStalled = 0; ///< Requests not answered within 3 s.
  std::uint64_t mRefused = 0; ///< Openings answered with a reset.
};

/// The outcome of an opening, or the end of an open flow.
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
  Endpoint mCaller;
  Endpoint mRoute;
  Endpoint mFirstVm; ///< The VM that got the first opening packet.
  std::uint32_t mCookie = 0;
  TimePoint mFirstSentAt{}; ///< First transmission of the opening or request.
  bool mReachedOtherVms = false; ///< Retransmissions went to other VMs.
};

class FlowCallers
{
public:
  /// Binds the callers' address. Fails with `SystemFailure`.
  static Result<FlowCallers> Start(Endpoint aAddress);

  /// Sets the VMs that get packets. The flow hash indexes the list, so its
  /// order matters.
  void SetRotation(std::vector<Endpoint> aVms) { mVms = std::move(aVms); }
  /// Opens a flow to a route.
  void Open(TimePoint aNow, Endpoint aRoute);
  /// Sends due packets and handles received ones.
  void Poll(TimePoint aNow);

  FlowCallerReport const& Report() const { return mReport; }
  /// Handles a forged reset on the first open flow.
  void InjectReset();
  /// Returns and clears the events since the last call.
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
