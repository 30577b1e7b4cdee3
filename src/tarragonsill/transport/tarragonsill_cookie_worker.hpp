#ifndef TARRAGONSILL_COOKIE_WORKER_HPP_INCLUDED
#define TARRAGONSILL_COOKIE_WORKER_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_cookie_steering.hpp"
#include "tarragonsill/coordination/tarragonsill_early_packets.hpp"
#include "tarragonsill/coordination/tarragonsill_receive_backlog.hpp"
#include "tarragonsill/protocol/tarragonsill_byte_order.hpp"
#include "tarragonsill/state/tarragonsill_counters.hpp"
#include "tarragonsill/transport/tarragonsill_boot_time.hpp"
#include "tarragonsill/transport/tarragonsill_connect_prober.hpp"
#include "tarragonsill/transport/tarragonsill_node_log.hpp"
#include "tarragonsill/transport/tarragonsill_shortage_log.hpp"
#include "tarragonsill/transport/tarragonsill_steering_log.hpp"
#include "tarragonsill/transport/tarragonsill_udp_socket.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <iterator>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>

/// The packet thread of an entry VM that steers flows by cookies.
namespace tarragonsill {

template<FlowPacketFormat Format>
class CookieWorker
{
public:
  /// Binds the socket and starts the thread; the reason for a failure is
  /// `SystemFailure`. `aCurrentAsOf` is the time as of which the posted views
  /// are current.
  static Result<std::unique_ptr<CookieWorker>> Start(
    Endpoint aPackets,
    std::uint64_t aSeed,
    Mechanisms aMechanisms,
    std::atomic<TimePoint> const& aCurrentAsOf,
    Counters& aCounters,
    NodeLog& aLog)
  {
    ReceiveBacklog const backlog(TimeSinceBoot(), kPauseThreshold);
    auto socket = UdpSocket::Bind(aPackets);
    if (!socket) {
      return socket.LastReason();
    }
    auto worker =
      std::unique_ptr<CookieWorker>(new CookieWorker(socket.Take(),
                                                     backlog,
                                                     aPackets.mPort,
                                                     { aSeed, aMechanisms },
                                                     aCurrentAsOf,
                                                     aCounters,
                                                     aLog));
    worker->mThread = std::thread([raw = worker.get()] { raw->Run(); });
    return worker;
  }

  ~CookieWorker()
  {
    mStop = true;
    if (mThread.joinable()) {
      mThread.join();
    }
  }

  /// Replaces the routing view from the next batch on. Thread-safe.
  void PostView(RoutingViewPointer aView)
  {
    std::atomic_store(&mPostedView, std::move(aView));
  }

  /// Sets the maximum share of hedged opening packets. Thread-safe.
  void SetMaxHedgeShare(double aShare) { mMaxHedgeShare = aShare; }

  /// What this VM had observed of its own zone's upstreams at the last sweep.
  /// Thread-safe.
  ZoneReach OwnZoneReach() const { return mOwnZoneReach; }
  /// Whether other zones answered this VM, as of the last sweep. Thread-safe.
  ZoneReach OutboundReach() const { return mOutboundReach; }

  /// The number of services whose upstreams could not serve all that arrived,
  /// at the last sweep. Thread-safe.
  std::uint32_t ServicesShort() const { return mServicesShort; }
  /// Replaces what the other VMs of the zone observe. Thread-safe.
  void PostSharedLoads(SharedLoadsPointer aLoads)
  {
    std::atomic_store(&mPostedLoads, std::move(aLoads));
  }

  /// What this VM has observed of its own zone's upstreams in the last
  /// observation period; null if there was none yet. Thread-safe.
  ObservationsPointer Observations() const
  {
    return std::atomic_load(&mObservations);
  }

  /// Returns the flows that other VMs of the zone are to be told of since the
  /// last call. Thread-safe.
  HeldOpenings TakeHeldOpenings()
  {
    std::lock_guard const lock(mHeldMutex);
    return std::exchange(mHeldToReport, {});
  }
  /// Hands over flows that another VM of the zone told of. Thread-safe.
  void PostHeldOpenings(HeldOpenings aOpenings)
  {
    std::lock_guard const lock(mHeldMutex);
    auto const room = kMaxHeldOpenings - mPostedHeld.size();
    aOpenings.resize(std::min(aOpenings.size(), room));
    std::move(
      aOpenings.begin(), aOpenings.end(), std::back_inserter(mPostedHeld));
  }

  /// The upstreams whose process was shown to have ended, as of the last sweep;
  /// null if there was none yet. Thread-safe.
  UpstreamRestartsPointer Restarts() const
  {
    return std::atomic_load(&mRestarts);
  }

  /// Thread-safe.
  SteeringLatencies const& Latencies() const { return mSteering.Latencies(); }

private:
  /// Each forwarded packet is preceded by the identity of its upstream.
  static constexpr std::size_t kIdentityBytes = 8;
  static constexpr milliseconds kReceiveTimeout{ 50 };
  static constexpr milliseconds kSweepPeriod{ 100 };
  static constexpr milliseconds kReviewPeriod{ 20 };
  static constexpr milliseconds kObservationPeriod{ 500 };
  /// An iteration that takes longer than this means that the VM was paused or
  /// the thread was starved.
  static constexpr milliseconds kPauseThreshold{ 150 };
  /// Bounds what waits for the packet thread or the other VMs.
  static constexpr std::size_t kMaxHeldOpenings = 1024;
  /// The maximum number of log lines for ordinary decisions per sweep period.
  static constexpr std::size_t kMaxOrdinaryLogEntries = 2;

  /// Parameters of steering that stay fixed.
  struct Options
  {
    std::uint64_t mSeed = 0;
    Mechanisms mMechanisms;
  };

  CookieWorker(UdpSocket aSocket,
               ReceiveBacklog const& aBacklog,
               std::uint16_t aCallerPort,
               Options aOptions,
               std::atomic<TimePoint> const& aCurrentAsOf,
               Counters& aCounters,
               NodeLog& aLog)
    : mSocket(std::move(aSocket))
    , mBacklog(aBacklog)
    , mCallerPort(aCallerPort)
    , mCurrentAsOf(aCurrentAsOf)
    , mCounters(aCounters)
    , mLog(aLog)
    , mBuffersEarlyPackets(aOptions.mMechanisms.Uses(Mechanism::EarlyPackets))
    , mSteering(aOptions.mSeed, aOptions.mMechanisms)
  {
  }

  void Run()
  {
    while (!mStop) {
      mSteering.SetMaxHedgeShare(mMaxHedgeShare);
      auto const readStart = TimeSinceBoot();
      auto const batch = mSocket.Receive(ReceiveTimeout());
      auto const now = Clock::now();
      bool const isQueueEmpty = batch.size() < UdpSocket::kBatch;
      if (mBacklog.RecordRead(readStart, TimeSinceBoot(), isQueueEmpty)) {
        mSteering.HandleLocalPause(now);
        mProber.Clear();
        // The age of the buffered packets is unknown, since the steady clock
        // stops while the VM is suspended.
        SteerPackets(now, mEarlyPackets.TakeAll(), Duration::max());
      }
      // Read first, so that the view is at least as new.
      mSteering.SetCurrentAsOf(mCurrentAsOf);
      UsePostedView();
      UsePostedLoads();
      ExchangeHeldOpenings(now);
      HandleEarlyPackets(now);
      for (auto const& datagram : batch) {
        HandleDatagram(now, datagram.mBytes);
      }
      Flush();
      SendOpeningCopies();
      // Otherwise answers may still be in the receive queue.
      if (isQueueEmpty) {
        SendHedges(now);
      }
      if (now >= mNextReview) {
        mNextReview = now + kReviewPeriod;
        mSteering.ReviewUpstreams(now);
      }
      RunProbes(now);
      if (now >= mNextSweep) {
        mNextSweep = now + kSweepPeriod;
        mSteering.Sweep(now);
        mOwnZoneReach = mSteering.OwnZoneReach(now);
        mServicesShort = mSteering.ServicesShort();
        PublishObservations(now);
        PublishRestarts(now);
        mOutboundReach = mSteering.OutboundReach();
        SendResets();
        WriteZoneChanges(now);
        WriteShortageEvents(mLog, mSteering.TakeShortageEvents());
        WriteLogEntries();
        mCounters.Add(Counter::HedgesAnsweredFirst,
                      mSteering.TakeHedgesAnsweredFirst());
      }
    }
  }

  milliseconds ReceiveTimeout()
  {
    auto const due = mSteering.NextHedgeDue();
    return due
             ? std::clamp(std::chrono::ceil<milliseconds>(*due - Clock::now()),
                          milliseconds{ 0 },
                          kReceiveTimeout)
             : kReceiveTimeout;
  }

  /// Offers late opening packets to a second upstream.
  void SendHedges(TimePoint aNow)
  {
    ForwardKept(mSteering.TakeHedgedOpenings(aNow), Counter::OpeningsHedged);
  }

  /// Corrects the cookie of upstreams that may answer late.
  void SendOpeningCopies()
  {
    ForwardKept(mSteering.TakeOpeningCopies(), Counter::LateAnswersCorrected);
  }

  /// Forwards packets that were kept, each with the verdict on it.
  void ForwardKept(std::vector<KeptOpening> aPackets, Counter aCounter)
  {
    for (auto& packet : aPackets) {
      if (mUsedHeaders == mHeaders.size()) {
        Flush();
      }
      mCounters.Add(aCounter);
      Forward(packet.mVerdict, packet.mBytes, mHeaders[mUsedHeaders++]);
    }
    // Queued datagrams refer to the bytes of the packets.
    Flush();
  }

  void UsePostedView()
  {
    if (auto posted = std::atomic_load(&mPostedView);
        posted && posted != mCurrentView) {
      mCurrentView = posted;
      mSteering.SetView(std::move(posted));
    }
  }

  void UsePostedLoads()
  {
    if (auto posted = std::atomic_load(&mPostedLoads);
        posted && posted != mSteering.SharedLoads()) {
      mSteering.SetSharedLoads(std::move(posted));
    }
  }

  /// Takes over what other VMs know of flows that several upstreams may answer,
  /// and provides what this one knows.
  void ExchangeHeldOpenings(TimePoint aNow)
  {
    auto toReport = mSteering.TakeHeldOpenings();
    HeldOpenings posted;
    {
      std::lock_guard const lock(mHeldMutex);
      posted.swap(mPostedHeld);
      auto const room = kMaxHeldOpenings - mHeldToReport.size();
      toReport.resize(std::min(toReport.size(), room));
      std::move(
        toReport.begin(), toReport.end(), std::back_inserter(mHeldToReport));
    }
    for (auto const& held : posted) {
      auto const opening = Format::Read(held.mPacket);
      if (opening && opening->mOpens && !opening->mAcknowledges) {
        mSteering.RecordHeldOpening(aNow, *opening, held.mPacket, held.mCookie);
      }
    }
  }

  void PublishObservations(TimePoint aNow)
  {
    if (aNow < mNextObservation) {
      return;
    }
    mNextObservation = aNow + kObservationPeriod;
    std::atomic_store(&mObservations,
                      std::make_shared<UpstreamObservations const>(
                        mSteering.TakeObservations()));
  }

  void PublishRestarts(TimePoint aNow)
  {
    auto restarts = mSteering.Restarts(aNow);
    if (!restarts.empty() || (mRestarts && !mRestarts->empty())) {
      std::atomic_store(
        &mRestarts,
        std::make_shared<UpstreamRestarts const>(std::move(restarts)));
    }
  }

  /// Handles the results of finished probes and starts due ones.
  void RunProbes(TimePoint aNow)
  {
    if (mProber.HasPendingProbes()) {
      for (auto const& result : mProber.Poll(aNow)) {
        HandleProbeResult(aNow, result);
      }
    }
    auto const slots = mSteering.StartProbeRound(aNow);
    if (!slots.empty()) {
      auto const reference = mSteering.ProbeReference();
      mProber.SetReference(reference ? std::optional(AddressOf(*reference))
                                     : std::nullopt);
    }
    for (auto const slot : slots) {
      mProber.StartProbe(aNow, slot, AddressOf(slot));
      mCounters.Add(Counter::ReachChecks);
    }
  }

  Endpoint AddressOf(std::uint32_t aSlot) const
  {
    return mSteering.View().mUpstreams[aSlot].mRegistration.mAddress;
  }

  void HandleProbeResult(TimePoint aNow, ConnectProber::Result const& aResult)
  {
    if (aResult.mResult != ConnectResult::Accepted) {
      WriteFailedProbe(mLog, aNow, mSteering, aResult.mSlot, aResult.mResult);
    }
    for (auto const slot :
         mSteering.RecordProbeResult(aNow, aResult.mSlot, aResult.mResult)) {
      auto const& registration =
        mSteering.View().mUpstreams[slot].mRegistration;
      mCounters.Add(Counter::UpstreamsOutOfReach);
      mLog.Write(
        "steer",
        "upstream_out_of_reach",
        { { "upstream", registration.mName }, { "zone", registration.mZone } });
      mNextSweep = aNow;
    }
  }

  void SendResets()
  {
    for (auto const& reset : mSteering.TakeResets()) {
      Header header;
      Format::WriteReset(header, reset.mRoute, reset.mCaller, reset.mSequence);
      (void)mSocket.Send({ reset.mCaller.mAddress, mCallerPort }, header);
      mCounters.Add(Counter::ResetsSilentUpstream);
      mCounters.Add(Counter::PacketsToCaller);
    }
  }

  /// Logs all unusual steering decisions, and ordinary ones up to a limit.
  void WriteLogEntries()
  {
    std::size_t ordinaryEntries = 0;
    for (auto const& entry : mSteering.TakeLogEntries()) {
      bool const isOrdinary = entry.mCause == SteeringCause::NewFlow &&
                              entry.mHealth == UpstreamHealth::Answering;
      if (isOrdinary && ++ordinaryEntries > kMaxOrdinaryLogEntries) {
        mCounters.Add(Counter::LogLinesDropped);
        continue;
      }
      mLog.Write("steer",
                 ToText(entry.mCause).data(),
                 FieldsOf(entry, mSteering.View()));
    }
  }

  void WriteZoneChanges(TimePoint aNow)
  {
    for (auto const& change : mSteering.TakeZoneChanges(aNow)) {
      mLog.Write("steer",
                 change.mIsSilent ? "zone_silent" : "zone_answers_again",
                 { { "zone", change.mZone } });
    }
    bool const isLost = mSteering.OutboundReach() == ZoneReach::Silent;
    if (std::exchange(mIsOutboundLost, isLost) != isLost) {
      mLog.Write("steer", isLost ? "outbound_lost" : "outbound_regained", {});
    }
  }

  /// Sends all queued datagrams.
  void Flush()
  {
    mCounters.Add(Counter::DropSendFailed, mSocket.Flush());
    mUsedHeaders = 0;
  }

  /// Steers buffered packets once the view is complete; opening packets that
  /// expire before that are dropped.
  void HandleEarlyPackets(TimePoint aNow)
  {
    if (mEarlyPackets.IsEmpty()) {
      return;
    }
    SteerPackets(aNow, mEarlyPackets.TakeExpired(aNow), Duration::max());
    if (mSteering.View().mIsComplete) {
      SteerPackets(aNow, mEarlyPackets.TakeAll(), Duration{ 0 });
    }
  }

  void SteerPackets(TimePoint aNow,
                    std::vector<EarlyPackets::Bytes> aPackets,
                    Duration aMaxAge)
  {
    for (auto& bytes : aPackets) {
      if (mUsedHeaders == mHeaders.size()) {
        Flush();
      }
      if (auto const packet = Format::Read(bytes)) {
        SteerPacket(aNow, *packet, bytes, aMaxAge);
      }
    }
    // Queued datagrams refer to the bytes of the packets.
    Flush();
  }

  void HandleDatagram(TimePoint aNow, std::span<std::byte> aBytes)
  {
    mCounters.Add(Counter::PacketsReceived);
    auto const packet = Format::Read(aBytes);
    if (!packet) {
      mCounters.Add(Counter::DropTruncated);
      return;
    }
    // The VM may also be paused while it handles a batch.
    auto const maxAge =
      packet->mOpens ? mBacklog.MaxAge(TimeSinceBoot()) : Duration{ 0 };
    bool const isEarly = mBuffersEarlyPackets && !mSteering.View().mIsComplete;
    if (isEarly && mEarlyPackets.Keep(
                     aNow, EarlyPackets::MaxWait(*packet, maxAge), aBytes)) {
      return;
    }
    SteerPacket(aNow, *packet, aBytes, maxAge);
  }

  void SteerPacket(TimePoint aNow,
                   FlowPacket const& aPacket,
                   std::span<std::byte> aBytes,
                   Duration aMaxAge)
  {
    auto const verdict = mSteering.Steer(aNow, aPacket, aMaxAge);
    if (auto const counter = CounterOf(verdict.mCause)) {
      mCounters.Add(*counter);
    }
    mSteering.KeepOpening(aNow, aPacket, verdict, aBytes);
    if (verdict.mIsByDelay) {
      mCounters.Add(Counter::PlacementsByDelay);
    }
    auto& header = mHeaders[mUsedHeaders++];
    switch (verdict.mAction) {
      case SteeringAction::Forward:
        Forward(verdict, aBytes, header);
        break;
      case SteeringAction::Reset:
        Format::WriteReset(
          header, aPacket.mDestination, aPacket.mSource, aPacket.mAcknowledged);
        mSocket.Queue({ aPacket.mSource.mAddress, mCallerPort }, header, {});
        mCounters.Add(Counter::PacketsToCaller);
        break;
      case SteeringAction::Drop:
        break;
    }
  }

  void Forward(SteeringVerdict const& aVerdict,
               std::span<std::byte> aPacket,
               std::span<std::byte> aHeader)
  {
    constexpr unsigned kWordBits = 32;
    auto const& registration =
      mSteering.View().mUpstreams[aVerdict.mSlot].mRegistration;
    auto const identity = aHeader.first(kIdentityBytes);
    StoreU32(identity,
             0,
             static_cast<std::uint32_t>(registration.mIdentity >> kWordBits));
    StoreU32(identity,
             sizeof(std::uint32_t),
             static_cast<std::uint32_t>(registration.mIdentity));
    Format::WriteCookie(aPacket, aVerdict.mCookie);
    mSocket.Queue(registration.mAddress, identity, aPacket);
    mCounters.Add(Counter::PacketsToUpstream);
  }

  using Header = std::array<std::byte, Format::kHeaderBytes>;

  UdpSocket mSocket;
  ReceiveBacklog mBacklog;
  std::uint16_t mCallerPort;
  std::atomic<TimePoint> const& mCurrentAsOf;
  Counters& mCounters;
  NodeLog& mLog;
  bool mBuffersEarlyPackets;
  CookieSteering mSteering;
  ConnectProber mProber;
  EarlyPackets mEarlyPackets;
  RoutingViewPointer mPostedView;
  RoutingViewPointer mCurrentView;
  SharedLoadsPointer mPostedLoads;
  ObservationsPointer mObservations;
  UpstreamRestartsPointer mRestarts;
  std::mutex mHeldMutex;
  HeldOpenings mHeldToReport;
  HeldOpenings mPostedHeld;
  TimePoint mNextObservation{};
  /// Headers of the queued datagrams.
  std::array<Header, UdpSocket::kBatch> mHeaders{};
  std::size_t mUsedHeaders = 0;
  TimePoint mNextSweep{};
  TimePoint mNextReview{};
  bool mIsOutboundLost = false; ///< As last written to the log.
  std::atomic<ZoneReach> mOwnZoneReach{ ZoneReach::Unknown };
  std::atomic<double> mMaxHedgeShare{ 0.0 };
  std::atomic<std::uint32_t> mServicesShort{ 0 };
  std::atomic<ZoneReach> mOutboundReach{ ZoneReach::Unknown };
  std::atomic<bool> mStop{ false };
  std::thread mThread;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_COOKIE_WORKER_HPP_INCLUDED
