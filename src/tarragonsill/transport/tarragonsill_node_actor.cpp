#include "tarragonsill/transport/tarragonsill_node_actor.hpp"

#include "tarragonsill/coordination/tarragonsill_node_peers.hpp"
#include "tarragonsill/coordination/tarragonsill_restart_relay.hpp"
#include "tarragonsill/coordination/tarragonsill_watch_retry.hpp"
#include "tarragonsill/transport/tarragonsill_boot_time.hpp"
#include "tarragonsill/transport/tarragonsill_directory_log.hpp"
#include "tarragonsill/transport/tarragonsill_load_status.hpp"

#include <algorithm>
#include <span>
#include <utility>

namespace tarragonsill {

namespace {

constexpr milliseconds kTickPeriod{ 50 };
/// Older messages about flows that several upstreams may answer are ignored.
constexpr milliseconds kMaxHeldOpeningAge{ 500 };
/// The two clocks are not read at the same moment.
constexpr milliseconds kMaxClockDifference{ 20 };

Member
MakeSelfMember(NodeSettings const& aSettings, std::uint64_t aIncarnation)
{
  Member self;
  self.mName = aSettings.mName;
  self.mZone = aSettings.mZone;
  self.mControl = aSettings.mPeers;
  self.mData = aSettings.mPackets;
  self.mCalls = aSettings.mKnowledge;
  self.mIncarnation = aIncarnation;
  return self;
}

WatchTimes
MakeWatchTimes(NodeSettings const& aSettings)
{
  auto const& bounds = aSettings.mBounds;
  return WatchTimes::For(
    std::min({ bounds.mConfiguration, bounds.mDrain, bounds.mEvacuation }));
}

class NodeActorImpl
{
public:
  NodeActorImpl(caf::event_based_actor* aSelf, NodeActorArguments aArguments)
    : mSelf(aSelf)
    , mArguments(std::move(aArguments))
    , mDirectory(mArguments.mState->mSettings)
    , mPeers(
        MakeSelfMember(mArguments.mState->mSettings, mArguments.mIncarnation),
        mArguments.mState->mSettings.mSeeds,
        mArguments.mIncarnation,
        mArguments.mState->mCounters,
        mArguments.mState->mSettings.mMechanisms)
    , mRetry(mArguments.mIncarnation, mArguments.mState->mSettings.mMechanisms)
  {
    mPeers.SetWatchTimes(MakeWatchTimes(mArguments.mState->mSettings));
    mPeers.SetFirstStart(mArguments.mState->mSettings.mIsFirstStart);
  }

  /// Applies an update from this VM's own watches and relays it to peers.
  void HandleOwnUpdate(StoreUpdate const& aUpdate, bool aIsConfirmation)
  {
    auto const* const source = aIsConfirmation ? "confirmation" : "watch";
    if (aUpdate.mIsWholeList && aUpdate.mKind == ObjectKind::Evacuations) {
      mDirectory.RecordEvacuationList(Clock::now(), aUpdate.mHasHistory);
    }
    ApplyUpdate(aUpdate, aUpdate.mIsWholeList ? "list" : source);
    if (aUpdate.mIsWholeList && aUpdate.mKind == kFirstListedKind) {
      StartDeferredLists(aUpdate.mUpTo);
    }
    Outbox outbox;
    mPeers.RelayUpdate(aUpdate, outbox);
    Send(outbox);
  }

  void ApplyUpdate(StoreUpdate const& aUpdate, std::string const& aSource)
  {
    ObserveEra(aUpdate.mUpTo.mEra, aSource);
    auto const changes = mDirectory.Apply(Clock::now(), aUpdate);
    WriteDirectoryChanges(Log(), aUpdate, changes, aSource);
    WriteMissingChangesIfChanged(aUpdate.mKind, aSource);
    PublishIfChanged();
  }

  void HandleFetchedKnowledge(KnowledgeFetched const& aFetched)
  {
    if (!aFetched.mLists) {
      Log().Write(
        "member",
        "peer_did_not_answer",
        { { "peer", aFetched.mPeer }, { "reason", aFetched.mReason } });
      return;
    }
    auto const source = "peer " + aFetched.mPeer;
    auto const applyPage = [&](ObjectKind aKind,
                               ObjectPage const& aPage,
                               StorePosition aAfter) {
      if (aPage.mPosition.IsSet()) {
        bool const isWhole = !aAfter.IsSet();
        ApplyUpdate({ aKind, aPage.mChanges, isWhole, aPage.mPosition, aAfter },
                    source);
      }
    };
    auto const& lists = *aFetched.mLists;
    // Before the lists that may complete the view.
    auto const returns = mDirectory.ApplyReturns(Clock::now(), lists.mReturns);
    WriteDirectoryChanges(Log(), {}, returns, source);
    applyPage(ObjectKind::Configuration, lists.mConfiguration, {});
    applyPage(ObjectKind::Upstreams, lists.mUpstreams, lists.mUpstreamsAfter);
    applyPage(ObjectKind::Evacuations, lists.mEvacuations, {});
    PublishIfChanged();
  }

  void HandleDatagram(DatagramReceived const& aReceived)
  {
    Outbox outbox;
    auto const& message = *aReceived.mMessage;
    mPeers.Handle(Clock::now(), message, outbox, aReceived.mMaxAge);
    Send(outbox);
    if (message.has_watch()) {
      mArguments.mState->mFreshness.Publish(mPeers.Freshness());
    }
    ObserveEra(message.store_era(), "peer " + message.sender().name());
    if (message.has_watch()) {
      mDirectory.AdvanceCompleteTo(
        { message.configuration_version(),
          { message.upstreams_era(), message.upstreams_revision() },
          { message.evacuations_era(), message.evacuations_revision() } },
        { message.watch().complete_to_era(),
          message.watch().complete_to_revision() });
    }
    HandleRestarts(message, aReceived.mMaxAge);
    HandleHeldOpenings(message, aReceived.mMaxAge);
    if (!message.has_knowledge()) {
      return;
    }
    auto const& update = message.knowledge();
    for (auto const kind : { ObjectKind::Upstreams, ObjectKind::Evacuations }) {
      auto changes = ChangesOf(kind, update);
      if (changes.empty()) {
        continue;
      }
      auto const span = RangeOf(update);
      ApplyUpdate({ kind, std::move(changes), false, span.mUpTo, span.mAfter },
                  "relay " + message.sender().name());
    }
  }

  void ApplySettings(SettingsChanged const& aChanged)
  {
    mDirectory.ApplySettings(*aChanged.mSettings);
    mPeers.SetWatchTimes(MakeWatchTimes(*aChanged.mSettings));
    SendWatchRoles();
    PublishIfChanged();
  }

  void AnswerKnowledgeRequest(KnowledgeRequested const& aRequest)
  {
    aRequest.mPromise->set_value(
      mDirectory.NewerThan(aRequest.mPeerDigest, Clock::now()));
  }

  void RecordStoreCall(StoreCallFinished const& aCall)
  {
    auto const kind = static_cast<std::size_t>(aCall.mKind);
    auto const now = Clock::now();
    ObserveEra(aCall.mEra, "store");
    mIsStoreAnswering[kind] = aCall.mAnswered;
    if (aCall.mConfirmed) {
      mPeers.RecordConfirmed(*aCall.mConfirmed);
      mArguments.mState->mFreshness.Publish(mPeers.Freshness());
    }
    if (aCall.mAnswered) {
      mLastAnswerTimes[kind] = now;
      mRetry.RecordAnswer(now, aCall.mKind);
      return;
    }
    bool const isDrawn =
      mRole == WatchRole::Watcher || mRole == WatchRole::ConfirmingWatcher;
    bool const isRelaxed = !isDrawn || mPeers.HasFreshPeerWatch(now);
    mRetry.RecordFailure(
      now, aCall.mKind, isRelaxed ? WatchRetry::kRelaxed : WatchRetry::kUrgent);
  }

  void AddWatch(StoreWatchStarted const& aStarted)
  {
    mWatches[static_cast<std::size_t>(aStarted.mKind)] = aStarted.mWatch;
    SendWatchRole(aStarted.mKind, {});
  }

  void Tick()
  {
    ForgetAgesAfterSuspension();
    auto const now = Clock::now();
    auto const& state = *mArguments.mState;
    auto const stage = state.mIsLeaving    ? MemberStage::Leaving
                       : state.mIsComplete ? MemberStage::Serving
                                           : MemberStage::Joining;
    mPeers.SetStage(stage);
    mArguments.mState->mMayLeave = mPeers.MayLeave();
    UpdateWatchRole(now);
    UpdateFreshness();
    RetryWatches(now);
    if (!IsFirstListMissing()) {
      StartDeferredLists({});
    }
    WriteDirectoryChanges(
      Log(), {}, mDirectory.ExpireUnconfirmedEvacuations(now), "time");
    UpdateCanServe(now);
    Outbox outbox;
    mPeers.Tick(now, outbox);
    ExchangeLoads(now, outbox);
    ReportRestarts(now, outbox);
    mPeers.ReportHeldOpenings(now, mArguments.mTakeHeldOpenings(), outbox);
    Send(outbox);
    mPeers.SetKnowsReturns(!mDirectory.IsComplete() ||
                           mDirectory.KnowsReturns(now));
    if (auto const peer = mPeers.NextPeerToQuery(now, state.mIsComplete)) {
      mSelf->send(mArguments.mFetchActor,
                  FetchKnowledge{ *peer, mDirectory.GaplessDigest() });
    }
    mDirectory.SetAdmittingVms(mPeers.AdmittingVms(now), mPeers.SelfHash());
    PublishIfChanged();
  }

private:
  /// Observes the store's era from an answer or a peer. If it has risen, this
  /// VM's watches start over, and the VMs that rely on them are notified at
  /// once.
  void ObserveEra(std::uint64_t aEra, std::string const& aSource)
  {
    auto const rollback = mDirectory.ObserveEra(aEra);
    mPeers.SetEra(mDirectory.Era());
    mArguments.mState->mStoreEra = mDirectory.Era();
    if (!rollback) {
      return;
    }
    Log().Write(
      "config",
      "store_came_back_older",
      { { "old_era", static_cast<std::int64_t>(rollback->mFrom) },
        { "era", static_cast<std::int64_t>(rollback->mTo) },
        { "held_to", ToText(rollback->mKnownTo) },
        { "upstreams", static_cast<std::int64_t>(rollback->mUpstreams) },
        { "evacuated", static_cast<std::int64_t>(rollback->mEvacuatedZones) },
        { "source", aSource } });
    mLastAnswerTimes.fill({});
    mPeers.ReportNow();
    SendWatchRoles();
    UpdatePeerPositions();
  }

  /// Logs when changes of a kind turn out to be missing, and when they no
  /// longer are.
  void WriteMissingChangesIfChanged(ObjectKind aKind,
                                    std::string const& aSource)
  {
    auto const missing = mDirectory.MissingChanges(aKind);
    auto& wasMissing = mHasMissingChanges[static_cast<std::size_t>(aKind)];
    if (std::exchange(wasMissing, missing.has_value()) != missing.has_value()) {
      WriteMissingChanges(Log(), aKind, missing, aSource);
    }
  }

  /// Starts or stops this VM's watches and records whether the store answers.
  void UpdateWatchRole(TimePoint aNow)
  {
    auto const role = mPeers.Role(aNow);
    bool const wasWatching = mRole != WatchRole::ReliesOnPeers;
    bool const isWatching = role != WatchRole::ReliesOnPeers;
    if (role != mRole) {
      mRole = role;
      Log().Write(
        "config", "watch_duty", { { "outcome", std::string(ToText(role)) } });
      SendWatchRoles();
    }
    if (isWatching && !wasWatching) {
      mLastAnswerTimes.fill({});
      mRetry.Reset();
    }
    auto const oldestAnswer =
      *std::min_element(mLastAnswerTimes.begin(), mLastAnswerTimes.end());
    bool const isWatchConfirmed = isWatching && oldestAnswer != TimePoint{};
    mPeers.SetLastWatchAnswer(isWatchConfirmed ? std::optional(oldestAnswer)
                                               : std::nullopt);
    bool const isStoreAnswering =
      std::any_of(mIsStoreAnswering.begin(),
                  mIsStoreAnswering.end(),
                  [](bool aIsAnswering) { return aIsAnswering; });
    mDirectory.RecordStoreAvailability(
      aNow, isWatching ? isStoreAnswering : mPeers.HasFreshPeerWatch(aNow));
  }

  /// Updates the time as of which this VM's state is current. Lets the VMs that
  /// rely on its watches know at once when that time or the confirmed position
  /// advances.
  void UpdateFreshness()
  {
    auto& state = *mArguments.mState;
    auto const& freshness = mPeers.Freshness();
    auto const currentAsOf = freshness.CurrentAsOf(mDirectory.CompleteTo());
    auto const confirmed = freshness.Newest().value_or(ConfirmedPosition{});
    bool const hasAdvanced = currentAsOf > state.mCurrentAsOf.load() ||
                             confirmed.mAt > mReportedConfirmation;
    state.mCurrentAsOf = currentAsOf;
    if (hasAdvanced && mRole != WatchRole::ReliesOnPeers) {
      mReportedConfirmation = confirmed.mAt;
      mPeers.ReportNow();
    }
  }

  /// Reports what the packet thread observed, and hands it what others did.
  void ExchangeLoads(TimePoint aNow, Outbox& aOutbox)
  {
    if (auto observations = mArguments.mObservations();
        observations && observations != mLastObservations) {
      mLastObservations = std::move(observations);
      mPeers.RecordObservations(aNow, *mLastObservations, aOutbox);
    }
    if (auto loads = mPeers.TakeSharedLoads(aNow)) {
      mLoadStatus.Record(aNow, *loads, *mArguments.mState);
      mArguments.mPublishLoads(std::move(loads));
    }
  }

  /// Reports upstreams that this VM has seen to refuse connections.
  void ReportRestarts(TimePoint aNow, Outbox& aOutbox)
  {
    auto const observed = mArguments.mRestarts();
    if (!observed || observed == mLastRestarts) {
      return;
    }
    mLastRestarts = observed;
    for (auto const& restart : mRestartRelay.TakeNew(*observed)) {
      if (mDirectory.RecordRestart(aNow, restart)) {
        WriteRestart(restart, "own probe");
        mPeers.ReportRestart(
          restart, mDirectory.ZoneOf(restart.mUpstream), aOutbox);
      }
    }
  }

  /// Applies what a peer reports, and tells others if that falls to this VM.
  void HandleRestarts(wire::PeerMessage const& aMessage, Duration aMaxAge)
  {
    if (aMessage.restarts().empty()) {
      return;
    }
    Outbox outbox;
    for (auto const& reported : aMessage.restarts()) {
      auto const age = std::chrono::duration_cast<milliseconds>(aMaxAge);
      UpstreamRestart const restart{
        reported.name(),
        reported.start_mark(),
        reported.running(),
        std::max(milliseconds{ reported.cold_left_ms() } - age,
                 milliseconds{ 0 })
      };
      if (!mDirectory.RecordRestart(Clock::now(), restart)) {
        continue;
      }
      WriteRestart(restart, "peer " + aMessage.sender().name());
      mPeers.ReportRestart(
        restart, mDirectory.ZoneOf(restart.mUpstream), outbox);
    }
    Send(outbox);
    PublishIfChanged();
  }

  void HandleHeldOpenings(wire::PeerMessage const& aMessage, Duration aMaxAge)
  {
    if (aMessage.held_openings().empty() || aMaxAge > kMaxHeldOpeningAge) {
      return;
    }
    HeldOpenings openings;
    for (auto const& held : aMessage.held_openings()) {
      auto const bytes = std::as_bytes(std::span(held.packet()));
      openings.push_back({ { bytes.begin(), bytes.end() }, held.cookie() });
    }
    mArguments.mPostHeldOpenings(std::move(openings));
  }

  void WriteRestart(UpstreamRestart const& aRestart, std::string const& aSource)
  {
    Log().Write(
      "steer",
      "upstream_may_be_new",
      { { "upstream", aRestart.mUpstream },
        { "running", std::string(aRestart.mIsRunning ? "yes" : "no") },
        { "cold_ms", std::int64_t{ aRestart.mRemainingColdTime.count() } },
        { "source", aSource } });
  }

  void RetryWatches(TimePoint aNow)
  {
    for (auto const kind : mRetry.Due(aNow)) {
      mSelf->send(mWatches[static_cast<std::size_t>(kind)], RetryWatch{});
    }
  }

  /// The list of this kind comes first and must be current. Lists of the other
  /// kinds may come from any replica that has reached its revision, which costs
  /// the store less.
  static constexpr auto kFirstListedKind = ObjectKind::Configuration;

  bool IsFirstListMissing() const
  {
    return !mDirectory.CompleteTo(kFirstListedKind).IsSet();
  }

  /// Starts the watches that were deferred until the first list.
  void StartDeferredLists(StorePosition aMinListPosition)
  {
    for (auto const kind : kObjectKinds) {
      auto& isDeferred = mIsListDeferred[static_cast<std::size_t>(kind)];
      if (std::exchange(isDeferred, false)) {
        SendWatchRole(kind, aMinListPosition);
      }
    }
  }

  void SendWatchRoles()
  {
    for (auto const kind : kObjectKinds) {
      SendWatchRole(kind, {});
    }
  }

  void SendWatchRole(ObjectKind aKind, StorePosition aMinListPosition)
  {
    auto const index = static_cast<std::size_t>(aKind);
    auto const completeTo = mDirectory.CompleteTo(aKind);
    bool const isWatching = mRole != WatchRole::ReliesOnPeers;
    auto& isDeferred = mIsListDeferred[index];
    isDeferred = isWatching && aKind != kFirstListedKind &&
                 !completeTo.IsSet() && IsFirstListMissing();
    if (mWatches[index] && !isDeferred) {
      auto const& times = mPeers.Times();
      // A VM that starts has not watched which zones returned lately.
      auto const& state = *mArguments.mState;
      bool const readsHistory = aKind == ObjectKind::Evacuations &&
                                !state.mIsComplete &&
                                !state.mSettings.mIsFirstStart;
      mSelf->send(mWatches[index],
                  SetWatchRole{ mRole,
                                completeTo,
                                times.mWait,
                                times.ConfirmAfter(mRole, aKind),
                                aMinListPosition,
                                readsHistory,
                                mDirectory.Era() });
    }
  }

  /// Updates whether this VM can serve callers. In a zone that is cut off, or
  /// from which no packet reaches another zone, and that has no upstream that
  /// serves and answers, VMs report that they are not ready: routers then use
  /// VMs of other zones, which can serve the callers.
  void UpdateCanServe(TimePoint aNow)
  {
    if (!mDirectory.IsComplete()) {
      return;
    }
    mPeers.SetZoneReach(mArguments.mOwnZoneReach());
    mPeers.SetOutboundReach(aNow, mArguments.mOutboundReach());
    auto const& mechanisms = mArguments.mState->mSettings.mMechanisms;
    bool const isCutOff =
      mechanisms.Uses(Mechanism::CutZoneUnready) && mPeers.IsZoneCutOff(aNow);
    bool const isOutboundLost =
      mechanisms.Uses(Mechanism::OutboundReach) && mPeers.IsOutboundLost(aNow);
    bool const isZoneSilent = mPeers.IsZoneSilent(aNow);
    bool const canServe = !(isCutOff || isOutboundLost) ||
                          (mDirectory.OwnZoneServes(aNow) && !isZoneSilent);
    if (mArguments.mState->mCanServe.exchange(canServe) == canServe) {
      return;
    }
    std::string const reason =
      isOutboundLost ? "no packet leaves the zone, which cannot serve by itself"
      : isZoneSilent ? "zone cut off, none of its upstreams answers"
                     : "zone cut off, none of its upstreams in use";
    Log().Write("entry",
                canServe ? "can_serve_again" : "cannot_serve",
                { { "reason", reason } });
  }

  NodeLog& Log() { return mArguments.mState->mLog; }

  /// Updates the store positions that messages to peers carry.
  void UpdatePeerPositions()
  {
    mPeers.SetDigest(mDirectory.Digest(), mDirectory.GaplessDigest());
    mPeers.SetCompleteTo(mDirectory.CompleteTo());
  }

  /// Ages of answers of the store count by the steady clock, which stops while
  /// the VM is suspended.
  void ForgetAgesAfterSuspension()
  {
    auto const suspended = TimeSinceBoot() - Clock::now().time_since_epoch();
    if (suspended > mSuspended + kMaxClockDifference) {
      mPeers.ForgetConfirmed();
      mArguments.mState->mFreshness.Publish(mPeers.Freshness());
      mLastAnswerTimes.fill({});
    }
    mSuspended = suspended;
  }

  void Send(Outbox& aOutbox)
  {
    ForgetAgesAfterSuspension();
    UpdatePeerPositions();
    mPeers.FillCommonFields(Clock::now(), aOutbox);
    auto& counters = mArguments.mState->mCounters;
    for (auto const& outgoing : aOutbox) {
      auto const bytes = outgoing.mMessage.SerializeAsString();
      counters.Add(Counter::ControlMessagesSent);
      counters.Add(Counter::ControlBytesSent, bytes.size());
      mArguments.mSend(outgoing.mTo, bytes);
    }
  }

  void PublishIfChanged()
  {
    auto const now = Clock::now();
    if (!mDirectory.HasChanged(now)) {
      return;
    }
    mArguments.mPublishView(mDirectory.BuildView(now));
    UpdatePeerPositions();
    if (!mDirectory.IsComplete() || mArguments.mState->mIsComplete) {
      return;
    }
    // Must come before `mIsComplete`: a VM that cannot serve must never report
    // that it is ready.
    UpdateCanServe(now);
    mArguments.mState->mIsComplete = true;
    Log().Write(
      "entry",
      "ready",
      { { "version",
          static_cast<std::int64_t>(mDirectory.ConfigurationVersion()) } });
  }

  caf::event_based_actor* mSelf;
  NodeActorArguments mArguments;
  Directory mDirectory;
  NodePeers mPeers;
  WatchRetry mRetry;
  WatchRole mRole = WatchRole::ReliesOnPeers;
  /// How long the VM had been suspended since its boot, as last observed.
  std::chrono::nanoseconds mSuspended =
    TimeSinceBoot() - Clock::now().time_since_epoch();
  /// Time of the last confirmed position that was reported to peers.
  TimePoint mReportedConfirmation{};
  // Indexed by kind of objects.
  std::array<bool, kObjectKinds.size()> mIsStoreAnswering{ true, true, true };
  std::array<TimePoint, kObjectKinds.size()> mLastAnswerTimes{};
  std::array<caf::actor, kObjectKinds.size()> mWatches;
  std::array<bool, kObjectKinds.size()> mIsListDeferred{};
  std::array<bool, kObjectKinds.size()> mHasMissingChanges{};
  ObservationsPointer mLastObservations;
  LoadStatus mLoadStatus;
  UpstreamRestartsPointer mLastRestarts;
  RestartRelay mRestartRelay;
};

} // namespace

caf::behavior
NodeActor(caf::event_based_actor* aSelf, NodeActorArguments aArguments)
{
  auto const impl =
    std::make_shared<NodeActorImpl>(aSelf, std::move(aArguments));
  aSelf->send(aSelf, TickAtom::value);
  return {
    [impl](StoreUpdateReceived const& aUpdate) {
      impl->HandleOwnUpdate(*aUpdate.mUpdate, aUpdate.mIsConfirmation);
    },
    [impl](StoreCallFinished const& aCall) { impl->RecordStoreCall(aCall); },
    [impl](StoreWatchStarted const& aStarted) { impl->AddWatch(aStarted); },
    [impl](DatagramReceived const& aReceived) {
      impl->HandleDatagram(aReceived);
    },
    [impl](SettingsChanged const& aChanged) { impl->ApplySettings(aChanged); },
    [impl](KnowledgeRequested const& aRequest) {
      impl->AnswerKnowledgeRequest(aRequest);
    },
    [impl](KnowledgeFetched const& aFetched) {
      impl->HandleFetchedKnowledge(aFetched);
    },
    [impl, aSelf](TickAtom) {
      impl->Tick();
      aSelf->delayed_send(aSelf, kTickPeriod, TickAtom::value);
    },
  };
}

} // namespace tarragonsill
