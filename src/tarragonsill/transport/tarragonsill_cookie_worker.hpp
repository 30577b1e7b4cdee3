#ifndef TARRAGONSILL_COOKIE_WORKER_HPP_INCLUDED
#define TARRAGONSILL_COOKIE_WORKER_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_cookie_steering.hpp"
#include "tarragonsill/coordination/tarragonsill_early_packets.hpp"
#include "tarragonsill/protocol/tarragonsill_byte_order.hpp"
#include "tarragonsill/state/tarragonsill_counters.hpp"
#include "tarragonsill/transport/tarragonsill_boot_time.hpp"
#include "tarragonsill/transport/tarragonsill_connect_prober.hpp"
#include "tarragonsill/transport/tarragonsill_node_log.hpp"
#include "tarragonsill/transport/tarragonsill_udp_socket.hpp"

#include <array>
#include <atomic>
#include <memory>
#include <thread>

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
    auto socket = UdpSocket::Bind(aPackets);
    if (!socket) {
      return socket.LastReason();
    }
    auto worker =
      std::unique_ptr<CookieWorker>(new CookieWorker(socket.Take(),
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

  /// What this VM had observed of its own zone's upstreams at the last sweep.
  /// Thread-safe.
  ZoneReach OwnZoneReach() const { return mOwnZoneReach; }

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

  /// Thread-safe.
  SteeringLatencies const& Latencies() const { return mSteering.Latencies(); }

private:
  /// Each forwarded packet is preceded by the identity of its upstream.
  static constexpr std::size_t kIdentityBytes = 8;
  static constexpr milliseconds kReceiveTimeout{ 50 };
  static constexpr milliseconds kSweepPeriod{ 100 };
  static constexpr milliseconds kObservationPeriod{ 500 };
  /// An iteration that takes longer than this means that the VM was paused or
  /// the thread was starved.
  static constexpr milliseconds kPauseThreshold{ 150 };
  /// The maximum number of log lines for ordinary decisions per sweep period.
  static constexpr std::size_t kMaxOrdinaryLogEntries = 2;

  /// Parameters of steering that stay fixed.
  struct Options
  {
    std::uint64_t mSeed = 0;
    Mechanisms mMechanisms;
  };

  CookieWorker(UdpSocket aSocket,
               std::uint16_t aCallerPort,
               Options aOptions,
               std::atomic<TimePoint> const& aCurrentAsOf,
               Counters& aCounters,
               NodeLog& aLog)
    : mSocket(std::move(aSocket))
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
    auto lastLoopTime = TimeSinceBoot();
    while (!mStop) {
      auto const batch = mSocket.Receive(kReceiveTimeout);
      auto const now = Clock::now();
      auto const timeSinceBoot = TimeSinceBoot();
      if (timeSinceBoot > lastLoopTime + kPauseThreshold) {
        mSteering.HandleLocalPause(now);
        mProber.Clear();
        // The age of the buffered packets is unknown, since the steady clock
        // stops while the VM is suspended.
        SteerPackets(now, mEarlyPackets.TakeAll());
      }
      lastLoopTime = timeSinceBoot;
      // Read first, so that the view is at least as new.
      mSteering.SetCurrentAsOf(mCurrentAsOf);
      UsePostedView();
      UsePostedLoads();
      HandleEarlyPackets(now);
      for (auto const& datagram : batch) {
        HandleDatagram(now, datagram.mBytes);
      }
      Flush();
      RunProbes(now);
      if (now >= mNextSweep) {
        mNextSweep = now + kSweepPeriod;
        mSteering.Sweep(now);
        mOwnZoneReach = mSteering.OwnZoneReach(now);
        PublishObservations(now);
        SendResets();
        WriteZoneChanges(now);
        WriteLogEntries();
      }
    }
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

  void LogFailedProbe(TimePoint aNow, ConnectProber::Result const& aResult)
  {
    auto const& upstream = mSteering.View().mUpstreams[aResult.mSlot];
    auto const& tracker = mSteering.Loads()[aResult.mSlot].mPassiveHealth;
    auto const answerAge =
      std::chrono::duration_cast<milliseconds>(aNow - tracker.LastAnswer());
    mLog.Write(
      "steer",
      "probe_failed",
      { { "upstream", upstream.mRegistration.mName },
        { "zone", upstream.mRegistration.mZone },
        { "result", std::string(ToText(aResult.mResult)) },
        { "registration", std::string(ToText(upstream.mAvailability)) },
        { "answer_age_ms", static_cast<std::int64_t>(answerAge.count()) },
        { "retransmissions",
          static_cast<std::int64_t>(tracker.Retransmissions()) } });
  }

  void HandleProbeResult(TimePoint aNow, ConnectProber::Result const& aResult)
  {
    if (aResult.mResult != ConnectResult::Accepted) {
      LogFailedProbe(aNow, aResult);
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
      mLog.Write("steer", ToText(entry.mCause).data(), FieldsOf(entry));
    }
  }

  void WriteZoneChanges(TimePoint aNow)
  {
    for (auto const& change : mSteering.TakeZoneChanges(aNow)) {
      mLog.Write("steer",
                 change.mIsSilent ? "zone_silent" : "zone_answers_again",
                 { { "zone", change.mZone } });
    }
  }

  std::vector<LogField> FieldsOf(SteeringLogEntry const& aEntry) const
  {
    auto const& view = mSteering.View();
    std::vector<LogField> fields = {
      { "flow", ToText(aEntry.mCaller) },
      { "route", ToText(aEntry.mRoute) },
      { "version", static_cast<std::int64_t>(view.mVersion) },
    };
    if (!aEntry.mHasUpstream) {
      return fields;
    }
    auto const& registration = view.mUpstreams[aEntry.mSlot].mRegistration;
    fields.emplace_back("upstream", registration.mName);
    fields.emplace_back("zone", registration.mZone);
    fields.emplace_back("health", std::string(ToText(aEntry.mHealth)));
    fields.emplace_back("cost", aEntry.mCost);
    fields.emplace_back("candidates",
                        static_cast<std::int64_t>(aEntry.mCandidates));
    if (!aEntry.mProof) {
      fields.emplace_back("basis",
                          std::string(aEntry.mIsByDelay ? "shared" : "own"));
    } else {
      fields.emplace_back("proof", std::string(ToText(*aEntry.mProof)));
      fields.emplace_back("last_probe", std::string(ToText(aEntry.mLastProbe)));
      fields.emplace_back("retransmissions",
                          static_cast<std::int64_t>(aEntry.mRetransmissions));
      fields.emplace_back("answer_age_ms",
                          static_cast<std::int64_t>(aEntry.mAnswerAge.count()));
    }
    return fields;
  }

  /// Sends all queued datagrams.
  void Flush()
  {
    mCounters.Add(Counter::DropSendFailed, mSocket.Flush());
    mUsedHeaders = 0;
  }

  /// Steers buffered packets once the view is complete; packets that expire
  /// before that are dropped.
  void HandleEarlyPackets(TimePoint aNow)
  {
    if (mEarlyPackets.IsEmpty()) {
      return;
    }
    SteerPackets(aNow,
                 mSteering.View().mIsComplete
                   ? mEarlyPackets.TakeAll()
                   : mEarlyPackets.TakeExpired(aNow));
  }

  void SteerPackets(TimePoint aNow, std::vector<EarlyPackets::Bytes> aPackets)
  {
    for (auto& packet : aPackets) {
      if (mUsedHeaders == mHeaders.size()) {
        Flush();
      }
      SteerPacket(aNow, packet);
    }
    // Queued datagrams refer to the bytes of the packets.
    Flush();
  }

  void HandleDatagram(TimePoint aNow, std::span<std::byte> aBytes)
  {
    mCounters.Add(Counter::PacketsReceived);
    bool const isEarly = mBuffersEarlyPackets && !mSteering.View().mIsComplete;
    if (isEarly && mEarlyPackets.Keep(aNow, aBytes)) {
      return;
    }
    SteerPacket(aNow, aBytes);
  }

  void SteerPacket(TimePoint aNow, std::span<std::byte> aBytes)
  {
    auto const packet = Format::Read(aBytes);
    if (!packet) {
      mCounters.Add(Counter::DropTruncated);
      return;
    }
    auto const verdict = mSteering.Steer(aNow, *packet);
    if (auto const counter = CounterOf(verdict.mCause)) {
      mCounters.Add(*counter);
    }
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
          header, packet->mDestination, packet->mSource, packet->mAcknowledged);
        mSocket.Queue({ packet->mSource.mAddress, mCallerPort }, header, {});
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
  TimePoint mNextObservation{};
  /// Headers of the queued datagrams.
  std::array<Header, UdpSocket::kBatch> mHeaders{};
  std::size_t mUsedHeaders = 0;
  TimePoint mNextSweep{};
  std::atomic<ZoneReach> mOwnZoneReach{ ZoneReach::Unknown };
  std::atomic<bool> mStop{ false };
  std::thread mThread;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_COOKIE_WORKER_HPP_INCLUDED
