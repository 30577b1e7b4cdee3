#include "tarragonsill/transport/tarragonsill_store_watch_actor.hpp"

#include "tarragonsill/transport/tarragonsill_node_messages.hpp"

namespace tarragonsill {

namespace {

/// Logs the first of consecutive failures of a watch, and the recovery.
class StoreAvailabilityLog
{
public:
  StoreAvailabilityLog(NodeLog& aLog, ObjectKind aKind)
    : mLog(aLog)
    , mKind(ToText(aKind))
  {
  }

  void Record(WatchPollResult const& aResult)
  {
    if (!aResult.mAnswered && mFailures++ == 0) {
      mLog.Write("config",
                 "store_lost",
                 { { "kind", mKind }, { "reason", aResult.mReason } });
    }
    if (aResult.mAnswered && mFailures > 0) {
      mLog.Write("config",
                 "store_regained",
                 { { "kind", mKind }, { "failures", mFailures } });
      mFailures = 0;
    }
  }

private:
  NodeLog& mLog;
  std::string mKind;
  std::int64_t mFailures = 0;
};

} // namespace

caf::behavior
StoreWatchActor(caf::event_based_actor* aSelf,
                std::shared_ptr<NodeState> aState,
                caf::actor aNodeActor,
                ObjectKind aKind,
                std::shared_ptr<PlatformWatch> aWatch)
{
  auto const availabilityLog =
    std::make_shared<StoreAvailabilityLog>(aState->mLog, aKind);
  struct WatchLoop
  {
    bool mIsWatching = false;
    /// Whether a tick was sent but not yet handled.
    bool mIsTickScheduled = false;
  };
  auto const loop = std::make_shared<WatchLoop>();
  auto const scheduleTick = [=] {
    if (!loop->mIsTickScheduled) {
      loop->mIsTickScheduled = true;
      aSelf->send(aSelf, TickAtom::value);
    }
  };
  aSelf->send(aNodeActor,
              StoreWatchStarted{ aKind, caf::actor_cast<caf::actor>(aSelf) });
  return {
    [=](TickAtom) {
      loop->mIsTickScheduled = loop->mIsWatching;
      if (!loop->mIsWatching) {
        return;
      }
      auto result = aWatch->Poll();
      availabilityLog->Record(result);
      aSelf->send(aNodeActor,
                  StoreCallFinished{
                    aKind, result.mAnswered, result.mEra, result.mConfirmed });
      if (result.mUpdate) {
        aSelf->send(aNodeActor,
                    StoreUpdateReceived{ std::make_shared<StoreUpdate const>(
                                           std::move(*result.mUpdate)),
                                         result.mIsConfirmation });
      }
      // The node actor sends `RetryWatch` when a failed call is to be retried.
      loop->mIsTickScheduled = result.mAnswered;
      if (result.mAnswered) {
        aSelf->delayed_send(aSelf, result.mDelay, TickAtom::value);
      }
    },
    [=](SetWatchRole const& aWatchRole) {
      loop->mIsWatching = aWatchRole.mRole != WatchRole::ReliesOnPeers;
      aWatch->SetWait(aWatchRole.mWait);
      aWatch->SetConfirmAfter(aWatchRole.mConfirmAfter);
      aWatch->ObserveEra(aWatchRole.mEra);
      if (loop->mIsWatching) {
        aWatch->ResumeFrom(aWatchRole.mCompleteTo);
        aWatch->SetMinListPosition(aWatchRole.mMinListPosition);
        aWatch->SetReadsHistory(aWatchRole.mReadsHistory);
        scheduleTick();
      }
    },
    [=](RetryWatch const&) {
      if (loop->mIsWatching) {
        scheduleTick();
      }
    },
  };
}

} // namespace tarragonsill
