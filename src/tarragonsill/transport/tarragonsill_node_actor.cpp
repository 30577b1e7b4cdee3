#include "tarragonsill/transport/tarragonsill_node_actor.hpp"

#include "tarragonsill/coordination/tarragonsill_node_peers.hpp"
#include "tarragonsill/coordination/tarragonsill_watch_retry.hpp"
#include "tarragonsill/transport/tarragonsill_directory_log.hpp"
#include "tarragonsill/transport/tarragonsill_knowledge_server.hpp"

#include <algorithm>
#include <utility>

namespace tarragonsill {

namespace {

constexpr milliseconds kTick{ 50 };
constexpr milliseconds kFetchTimeout{ 500 };

Member
SelfOf(NodeSettings const& aSettings, std::uint64_t aIncarnation)
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
TimesOf(NodeSettings const& aSettings)
{
  auto const& bounds = aSettings.mBounds;
  return WatchTimes::For(
    std::min({ bounds.mConfiguration, bounds.mDrain, bounds.mEvacuation }));
}

class NodePart
{
public:
  NodePart(caf::event_based_actor* aSelf, NodeActorArguments aArguments)
    : mSelf(aSelf)
    , mArguments(std::move(aArguments))
    , mDirectory(mArguments.mState->mSettings)
    , mPeers(SelfOf(mArguments.mState->mSettings, mArguments.mIncarnation),
             mArguments.mState->mSettings.mSeeds,
             mArguments.mIncarnation,
             mArguments.mState->mCounters,
             mArguments.mState->mSettings.mMechanisms)
    , mRetry(mArguments.mIncarnation, mArguments.mState->mSettings.mMechanisms)
  {
    mPeers.SetWatchTimes(TimesOf(mArguments.mState->mSettings));
    mPeers.SetFirstStart(mArguments.mState->mSettings.mIsFirstStart);
  }

  /// Takes what this VM's own watches brought, and passes it on.
  void TakeOwn(StoreUpdate const& aUpdate)
  {
    Take(aUpdate, aUpdate.mIsWholeList ? "list" : "watch");
    if (aUpdate.mIsWholeList && aUpdate.mKind == kFirstListed) {
      ListTheOthers(aUpdate.mUpTo);
    }
    Outbox outbox;
    mPeers.RelayUpdate(aUpdate, outbox);
    Send(outbox);
  }

  void Take(StoreUpdate const& aUpdate, std::string const& aSource)
  {
    NoteEra(aUpdate.mUpTo.mEra, aSource);
    auto const changes = mDirectory.Apply(Clock::now(), aUpdate);
    WriteDirectoryChanges(Log(), aUpdate, changes, aSource);
    PublishIfChanged();
  }

  void Take(KnowledgeFetched const& aFetched)
  {
    if (!aFetched.mLists) {
      Log().Write(
        "member",
        "peer_did_not_answer",
        { { "peer", aFetched.mPeer }, { "reason", aFetched.mFailure } });
      return;
    }
    auto const source = "peer " + aFetched.mPeer;
    auto const take =
      [&](ObjectKind aKind, ObjectPage const& aPage, StorePosition aAfter) {
        if (aPage.mPosition.IsSet()) {
          bool const isWhole = !aAfter.IsSet();
          Take({ aKind, aPage.mChanges, isWhole, aPage.mPosition, aAfter },
               source);
        }
      };
    auto const& lists = *aFetched.mLists;
    take(ObjectKind::Configuration, lists.mConfiguration, {});
    take(ObjectKind::Upstreams, lists.mUpstreams, lists.mUpstreamsAfter);
    take(ObjectKind::Evacuations, lists.mEvacuations, {});
  }

  void Take(DatagramReceived const& aReceived)
  {
    Outbox outbox;
    auto const& message = *aReceived.mMessage;
    mPeers.Handle(Clock::now(), message, outbox);
    Send(outbox);
    NoteEra(message.store_era(), "peer " + message.sender().name());
    if (message.has_watch()) {
      mDirectory.AdvanceCompleteTo(
        { message.configuration_version(),
          { message.upstreams_era(), message.upstreams_revision() },
          { message.evacuations_era(), message.evacuations_revision() } },
        { message.watch().complete_to_era(),
          message.watch().complete_to_revision() });
    }
    if (!message.has_knowledge()) {
      return;
    }
    auto const& update = message.knowledge();
    for (auto const kind : { ObjectKind::Upstreams, ObjectKind::Evacuations }) {
      auto changes = ChangesOf(kind, update);
      if (changes.empty()) {
        continue;
      }
      auto const span = SpanOf(update);
      Take({ kind, std::move(changes), false, span.mUpTo, span.mAfter },
           "relay " + message.sender().name());
    }
  }

  void Adopt(SettingsChanged const& aChanged)
  {
    mDirectory.ApplySettings(*aChanged.mSettings);
    mPeers.SetWatchTimes(TimesOf(*aChanged.mSettings));
    SendWatchRoles();
    PublishIfChanged();
  }

  void Answer(KnowledgeWanted const& aWanted)
  {
    aWanted.mAnswer->set_value(
      mDirectory.NewerThan(aWanted.mHeld, Clock::now()));
  }

  void Note(StoreAnswered const& aAnswer)
  {
    auto const kind = static_cast<std::size_t>(aAnswer.mKind);
    auto const now = Clock::now();
    NoteEra(aAnswer.mEra, "store");
    mAnswers[kind] = aAnswer.mAnswered;
    if (aAnswer.mAnswered) {
      mAnsweredAt[kind] = now;
      mRetry.RecordAnswer(now, aAnswer.mKind);
      return;
    }
    bool const isRelaxed =
      mRole != WatchRole::Watcher || mPeers.HasFreshPeerWatch(now);
    mRetry.RecordFailure(now,
                         aAnswer.mKind,
                         isRelaxed ? WatchRetry::kRelaxed
                                   : WatchRetry::kUrgent);
  }

  void Note(StoreWatchStarted const& aStarted)
  {
    mWatches[static_cast<std::size_t>(aStarted.mKind)] = aStarted.mWatch;
    SendWatchRole(aStarted.mKind, {});
  }

  void Tick()
  {
    auto const now = Clock::now();
    auto const& state = *mArguments.mState;
    auto const stage = state.mIsLeaving    ? MemberStage::Leaving
                       : state.mIsComplete ? MemberStage::Serving
                                           : MemberStage::Joining;
    mPeers.SetStage(stage);
    mArguments.mState->mMayLeave = mPeers.MayLeave();
    UpdateWatchRole(now);
    RetryWatches(now);
    if (!IsFirstListDue()) {
      ListTheOthers({});
    }
    WriteDirectoryChanges(
      Log(), {}, mDirectory.ExpireUnconfirmedEvacuations(now), "time");
    UpdateReach(now);
    Outbox outbox;
    mPeers.Tick(now, outbox);
    Send(outbox);
    if (auto const peer = mPeers.NextPeerToQuery(now, state.mIsComplete)) {
      mSelf->send(mArguments.mFetch,
                  FetchKnowledge{ *peer, mDirectory.GaplessDigest() });
    }
    mDirectory.SetAdmittingVms(mPeers.AdmittingVms(now), mPeers.SelfHash());
    PublishIfChanged();
  }

private:
  /// Notes the store's era as an answer or a peer names it. Once it has risen,
  /// the own watches begin anew and those that rely on them are told at once.
  void NoteEra(std::uint64_t aEra, std::string const& aSource)
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
    mAnsweredAt.fill({});
    mPeers.ReportNow();
    SendWatchRoles();
    ShareReach();
  }

  /// Starts or stops the own watches, and notes whether the store answers.
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
      mAnsweredAt.fill({});
      mRetry.Reset();
    }
    auto const oldest =
      *std::min_element(mAnsweredAt.begin(), mAnsweredAt.end());
    bool const isWatchConfirmed = isWatching && oldest != TimePoint{};
    mPeers.SetLastWatchAnswer(isWatchConfirmed ? std::optional(oldest)
                                               : std::nullopt);
    bool const ownAnswers = std::any_of(
      mAnswers.begin(), mAnswers.end(), [](bool aAny) { return aAny; });
    mDirectory.RecordStoreAvailability(
      aNow, isWatching ? ownAnswers : mPeers.HasFreshPeerWatch(aNow));
  }

  void RetryWatches(TimePoint aNow)
  {
    for (auto const kind : mRetry.Due(aNow)) {
      mSelf->send(mWatches[static_cast<std::size_t>(kind)], RetryWatch{});
    }
  }

  /// The first list may not lag. The others may come from any replica that has
  /// reached its revision, which is cheaper for the store.
  static constexpr auto kFirstListed = ObjectKind::Configuration;

  bool IsFirstListDue() const
  {
    return !mDirectory.CompleteTo(kFirstListed).IsSet();
  }

  /// Lets the watches go on that waited for the first list.
  void ListTheOthers(StorePosition aFloor)
  {
    for (auto const kind : kObjectKinds) {
      auto& waits = mWaitsForFirstList[static_cast<std::size_t>(kind)];
      if (std::exchange(waits, false)) {
        SendWatchRole(kind, aFloor);
      }
    }
  }

  void SendWatchRoles()
  {
    for (auto const kind : kObjectKinds) {
      SendWatchRole(kind, {});
    }
  }

  void SendWatchRole(ObjectKind aKind, StorePosition aFloor)
  {
    auto const index = static_cast<std::size_t>(aKind);
    auto const complete = mDirectory.CompleteTo(aKind);
    bool const isWatching = mRole != WatchRole::ReliesOnPeers;
    auto& waits = mWaitsForFirstList[index];
    waits = isWatching && aKind != kFirstListed && !complete.IsSet() &&
            IsFirstListDue();
    if (mWatches[index] && !waits) {
      auto const wait = mPeers.Times().mWait;
      mSelf->send(
        mWatches[index],
        SetWatchRole{ mRole, complete, wait, aFloor, mDirectory.Era() });
    }
  }

  /// In a zone that is cut off and has nothing to offer, callers are better
  /// served by the VMs of other zones; routers turn there when no VM of the
  /// zone is ready.
  void UpdateReach(TimePoint aNow)
  {
    if (!mDirectory.IsComplete()) {
      return;
    }
    auto const& mechanisms = mArguments.mState->mSettings.mMechanisms;
    bool const canServe = !mechanisms.Uses(Mechanism::CutZoneUnready) ||
                          !mPeers.IsZoneCutOff(aNow) ||
                          mDirectory.OwnZoneServes(aNow);
    if (mArguments.mState->mCanServe.exchange(canServe) != canServe) {
      Log().Write(
        "entry",
        canServe ? "can_serve_again" : "cannot_serve",
        { { "reason", "zone cut off, none of its upstreams in use" } });
    }
  }

  NodeLog& Log() { return mArguments.mState->mLog; }

  /// Tells the part that talks to peers how far knowledge goes.
  void ShareReach()
  {
    mPeers.SetDigest(mDirectory.Digest(), mDirectory.GaplessDigest());
    mPeers.SetCompleteTo(mDirectory.CompleteTo());
  }

  void Send(Outbox& aOutbox)
  {
    ShareReach();
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
    mArguments.mPublish(mDirectory.BuildView(now));
    ShareReach();
    if (!mDirectory.IsComplete() || mArguments.mState->mIsComplete) {
      return;
    }
    // Routers must not turn to a VM that cannot serve, not even for a moment.
    UpdateReach(now);
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
  // By kind of objects.
  std::array<bool, kObjectKinds.size()> mAnswers{ true, true, true };
  std::array<TimePoint, kObjectKinds.size()> mAnsweredAt{};
  std::array<caf::actor, kObjectKinds.size()> mWatches;
  std::array<bool, kObjectKinds.size()> mWaitsForFirstList{};
};

} // namespace

caf::behavior
NodeActor(caf::event_based_actor* aSelf, NodeActorArguments aArguments)
{
  auto const part = std::make_shared<NodePart>(aSelf, std::move(aArguments));
  aSelf->send(aSelf, TickAtom::value);
  return {
    [part](StoreUpdateReceived const& aUpdate) {
      part->TakeOwn(*aUpdate.mUpdate);
    },
    [part](StoreAnswered const& aAnswer) { part->Note(aAnswer); },
    [part](StoreWatchStarted const& aStarted) { part->Note(aStarted); },
    [part](DatagramReceived const& aReceived) { part->Take(aReceived); },
    [part](SettingsChanged const& aChanged) { part->Adopt(aChanged); },
    [part](KnowledgeWanted const& aWanted) { part->Answer(aWanted); },
    [part](KnowledgeFetched const& aFetched) { part->Take(aFetched); },
    [part, aSelf](TickAtom) {
      part->Tick();
      aSelf->delayed_send(aSelf, kTick, TickAtom::value);
    },
  };
}

caf::behavior
KnowledgeFetchActor(caf::event_based_actor* aSelf)
{
  return { [aSelf](FetchKnowledge const& aFetch) {
    auto const asker = caf::actor_cast<caf::actor>(aSelf->current_sender());
    auto lists =
      FetchFromPeer(aFetch.mPeer.mCalls, aFetch.mHeld, kFetchTimeout);
    if (!lists) {
      aSelf->send(asker,
                  KnowledgeFetched{
                    aFetch.mPeer.mName, nullptr, lists.LastReason().mText });
      return;
    }
    aSelf->send(
      asker,
      KnowledgeFetched{ aFetch.mPeer.mName,
                        std::make_shared<StoreLists const>(lists.Take()),
                        {} });
  } };
}

} // namespace tarragonsill
