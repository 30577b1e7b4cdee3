#include "tarragonsill/transport/tarragonsill_node_daemon.hpp"

#include "tarragonsill/platform/tarragonsill_platform_packet.hpp"
#include "tarragonsill/transport/tarragonsill_control_link.hpp"
#include "tarragonsill/transport/tarragonsill_cookie_worker.hpp"
#include "tarragonsill/transport/tarragonsill_incarnation.hpp"
#include "tarragonsill/transport/tarragonsill_knowledge_fetch_actor.hpp"
#include "tarragonsill/transport/tarragonsill_knowledge_server.hpp"
#include "tarragonsill/transport/tarragonsill_load_status.hpp"
#include "tarragonsill/transport/tarragonsill_node_actor.hpp"
#include "tarragonsill/transport/tarragonsill_page_server.hpp"
#include "tarragonsill/transport/tarragonsill_store_watch_actor.hpp"

#include <thread>

namespace tarragonsill {

namespace {

/// One scheduler thread runs all actors that do not block. Watches and fetches
/// from peers have their own threads.
constexpr int kSchedulerThreads = 1;
/// Routers check readiness twice a second and stop using a VM after two
/// failures (platform documentation). The margin covers packets in transit.
constexpr milliseconds kRouterRemovalTime{ 1300 };
/// Time from the end of serving to the end of the process.
constexpr milliseconds kShutdownTime{ 1000 };
constexpr milliseconds kLeavePollPeriod{ 50 };
constexpr int kStatusUnavailable = 503;
/// A peer's request fails if the directory does not answer within this time.
constexpr milliseconds kPeerAnswerTimeout{ 300 };

using Worker = CookieWorker<Platform::PacketFormat>;

caf::actor_system_config&
PrepareNodeConfig(caf::actor_system_config& aConfig)
{
  aConfig.add_message_types<caf::id_block::tarragonsill>();
  aConfig.add_message_types<caf::id_block::tarragonsill_node>();
  aConfig.set("scheduler.max-threads", kSchedulerThreads);
  // The default policy polls for work; this one blocks until there is some.
  aConfig.set("scheduler.policy", caf::atom("sharing"));
  return aConfig;
}

/// Returns the name of a setting that differs and requires a restart, if any.
std::optional<std::string>
FindRestartSetting(NodeSettings const& aOld, NodeSettings const& aNew)
{
  for (auto const& [name, differs] :
       { std::pair("name", aOld.mName != aNew.mName),
         std::pair("zone", aOld.mZone != aNew.mZone),
         std::pair("zones", aOld.mZones != aNew.mZones),
         std::pair("packets", aOld.mPackets != aNew.mPackets),
         std::pair("readiness", aOld.mReadiness != aNew.mReadiness),
         std::pair("peers", aOld.mPeers != aNew.mPeers),
         std::pair("metrics", aOld.mMetrics != aNew.mMetrics),
         std::pair("store", aOld.mStore != aNew.mStore) }) {
    if (differs) {
      return name;
    }
  }
  return std::nullopt;
}

/// Returns a gauge in the text exposition format.
std::string
GaugeLine(std::string const& aName,
          std::string const& aEntry,
          std::uint64_t aValue)
{
  return "# TYPE " + aName + " gauge\n" + aName + "{entry=\"" + aEntry +
         "\"} " + std::to_string(aValue) + "\n";
}

/// Returns the gauge of the age of the state by which a VM steers; nothing
/// while no answer confirms that state.
std::string
StateAgeLine(NodeState const& aState)
{
  auto const currentAsOf = aState.mCurrentAsOf.load();
  if (currentAsOf == TimePoint{}) {
    return {};
  }
  auto const age =
    std::chrono::duration_cast<milliseconds>(Clock::now() - currentAsOf);
  return GaugeLine("tarragonsill_state_age_milliseconds",
                   aState.mSettings.mName,
                   static_cast<std::uint64_t>(age.count()));
}

} // namespace

struct NodeDaemon::Impl
{
  explicit Impl(NodeSettings aSettings)
    : mState(std::make_shared<NodeState>(std::move(aSettings)))
    , mShutdownGrace(mState->mSettings.mBounds.mGrace)
    , mSystem(PrepareNodeConfig(mConfig))
  {
  }
  ~Impl()
  {
    mPageServers.clear();
    mKnowledgeServer.reset();
    for (auto const& watch : mWatches) {
      watch->Cancel();
    }
    for (auto const& actor : mActors) {
      caf::anon_send_exit(actor, caf::exit_reason::kill);
    }
    mActors.clear();
    mNodeActor = caf::actor{};
    mSystem.await_all_actors_done();
  }

  void ApplyHedgeShare(NodeSettings const& aSettings);
  void StartActors();
  Result<Success> StartPeerCommunication();
  Result<Success> StartPageServers();

  std::shared_ptr<NodeState> mState;
  milliseconds mShutdownGrace; ///< From SIGTERM until the process is killed.
  double mMaxHedgeShare = 0.0;
  std::unique_ptr<Worker> mWorker;
  caf::actor_system_config mConfig;
  caf::actor_system mSystem;
  std::vector<std::shared_ptr<PlatformWatch>> mWatches;
  caf::actor mNodeActor;
  std::vector<caf::actor> mActors;
  std::unique_ptr<ControlLink> mLink;
  std::unique_ptr<KnowledgeServer> mKnowledgeServer;
  std::vector<std::unique_ptr<PageServer>> mPageServers;
};

void
NodeDaemon::Impl::ApplyHedgeShare(NodeSettings const& aSettings)
{
  auto const share = aSettings.mMaxHedgeShare.value_or(0.0);
  if (share == mMaxHedgeShare) {
    return;
  }
  mMaxHedgeShare = share;
  mWorker->SetMaxHedgeShare(share);
  mState->mLog.Write("entry", "hedging", { { "max_share", share } });
}

void
NodeDaemon::Impl::StartActors()
{
  NodeActorArguments arguments;
  arguments.mState = mState;
  arguments.mPublishView = [worker = mWorker.get()](RoutingViewPointer aView) {
    worker->PostView(std::move(aView));
  };
  arguments.mOwnZoneReach = [worker = mWorker.get()] {
    return worker->OwnZoneReach();
  };
  arguments.mObservations = [worker = mWorker.get()] {
    return worker->Observations();
  };
  arguments.mPublishLoads = [worker =
                               mWorker.get()](SharedLoadsPointer aLoads) {
    worker->PostSharedLoads(std::move(aLoads));
  };
  arguments.mOutboundReach = [worker = mWorker.get()] {
    return worker->OutboundReach();
  };
  arguments.mSend = [link = mLink.get()](Endpoint aTo,
                                         std::string const& aBytes) {
    link->Send(aTo, aBytes);
  };
  arguments.mRestarts = [worker = mWorker.get()] { return worker->Restarts(); };
  arguments.mTakeHeldOpenings = [worker = mWorker.get()] {
    return worker->TakeHeldOpenings();
  };
  arguments.mPostHeldOpenings = [worker =
                                   mWorker.get()](HeldOpenings aOpenings) {
    worker->PostHeldOpenings(std::move(aOpenings));
  };
  arguments.mFetchActor = mSystem.spawn<caf::detached>(KnowledgeFetchActor);
  arguments.mIncarnation = NewIncarnation();
  mActors.push_back(arguments.mFetchActor);
  mNodeActor = mSystem.spawn(NodeActor, std::move(arguments));
  for (auto const kind : kObjectKinds) {
    mWatches.push_back(
      std::make_shared<PlatformWatch>(mState->mSettings.mStore,
                                      kind,
                                      mState->mCounters,
                                      mState->mFreshness,
                                      mState->mSettings.mMechanisms));
    mActors.push_back(mSystem.spawn<caf::detached>(
      StoreWatchActor, mState, mNodeActor, kind, mWatches.back()));
  }
  mActors.push_back(mNodeActor);
  mLink->Start(mNodeActor);
}

Result<Success>
NodeDaemon::Impl::StartPeerCommunication()
{
  auto socket = UdpSocket::Bind(mState->mSettings.mPeers);
  if (!socket) {
    return socket.LastReason();
  }
  mLink = std::make_unique<ControlLink>(
    socket.Take(), mState->mCounters, [](Endpoint) { return true; });
  StartActors();
  auto server = KnowledgeServer::Start(
    mState->mSettings.mKnowledge,
    [node =
       mNodeActor](auto const& aPeerDigest) -> std::optional<KnowledgeLists> {
      auto const promise = std::make_shared<std::promise<KnowledgeLists>>();
      auto future = promise->get_future();
      caf::anon_send(node, KnowledgeRequested{ aPeerDigest, promise });
      if (future.wait_for(kPeerAnswerTimeout) != std::future_status::ready) {
        return std::nullopt;
      }
      return future.get();
    });
  if (!server) {
    return server.LastReason();
  }
  mKnowledgeServer = server.Take();
  return Success{};
}

Result<Success>
NodeDaemon::Impl::StartPageServers()
{
  auto const readiness = [state = mState](auto const&) {
    bool const ready =
      state->mIsComplete && state->mCanServe && !state->mIsLeaving;
    return Page{ ready ? HttpConnection::kStatusOk : kStatusUnavailable,
                 "text/plain",
                 ready ? "ready\n" : "not ready\n" };
  };
  auto const metrics = [state = mState, worker = mWorker.get()](auto const&) {
    auto const& name = state->mSettings.mName;
    auto const& latencies = worker->Latencies();
    Page page;
    page.mBody =
      state->mCounters.ToExposition(name) +
      GaugeLine("tarragonsill_store_era", name, state->mStoreEra) +
      GaugeLine("tarragonsill_services_short", name, worker->ServicesShort()) +
      StateAgeLine(*state) + LoadMetrics(*state) +
      state->mSettings.mMechanisms.ToExposition(name) +
      latencies.mHandshake.ToExposition("tarragonsill_handshake_seconds",
                                        name) +
      latencies.mAnswer.ToExposition("tarragonsill_answer_seconds", name);
    return page;
  };
  auto const& settings = mState->mSettings;
  for (auto const& [address, path, handler] :
       { std::tuple(settings.mReadiness,
                    std::string("/readiness"),
                    PageServer::Handler(readiness)),
         std::tuple(settings.mMetrics,
                    std::string("/metrics"),
                    PageServer::Handler(metrics)) }) {
    auto server = PageServer::Start(address, { { path, handler } });
    if (!server) {
      return server.LastReason();
    }
    mPageServers.push_back(server.Take());
  }
  return Success{};
}

NodeDaemon::NodeDaemon(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

NodeDaemon::~NodeDaemon() = default;

Result<std::unique_ptr<NodeDaemon>>
NodeDaemon::Start(NodeSettings aSettings)
{
  auto impl = std::make_unique<Impl>(std::move(aSettings));
  auto const& settings = impl->mState->mSettings;
  impl->mState->mLog.Write("entry",
                           "started",
                           { { "zone", settings.mZone },
                             { "packets", ToText(settings.mPackets) },
                             { "store", ToText(settings.mStore) } });
  for (auto const& name : settings.mMechanisms.DisabledNames()) {
    impl->mState->mLog.Write("entry", "mechanism_off", { { "name", name } });
  }
  auto worker = Worker::Start(settings.mPackets,
                              HashText(settings.mName),
                              settings.mMechanisms,
                              impl->mState->mCurrentAsOf,
                              impl->mState->mCounters,
                              impl->mState->mLog);
  if (!worker) {
    return worker.LastReason();
  }
  impl->mWorker = worker.Take();
  impl->ApplyHedgeShare(settings);
  auto const peers = impl->StartPeerCommunication();
  if (!peers) {
    return peers.LastReason();
  }
  auto const pages = impl->StartPageServers();
  if (!pages) {
    return pages.LastReason();
  }
  return std::unique_ptr<NodeDaemon>(new NodeDaemon(std::move(impl)));
}

void
NodeDaemon::Reload(NodeSettings const& aSettings)
{
  auto const& current = mImpl->mState->mSettings;
  auto const changedSetting = FindRestartSetting(current, aSettings);
  if (!changedSetting) {
    mImpl->mShutdownGrace = aSettings.mBounds.mGrace;
    mImpl->ApplyHedgeShare(aSettings);
    caf::anon_send(
      mImpl->mNodeActor,
      SettingsChanged{ std::make_shared<NodeSettings const>(aSettings) });
  }
  mImpl->mState->mLog.Write(
    "entry",
    "reloaded",
    { { "outcome",
        changedSetting ? "refused, needs a restart"
                       : "bounds and times taken over" },
      { "reason", changedSetting ? *changedSetting + " differs" : "" } });
}

void
NodeDaemon::LogReloadError(Reason const& aReason)
{
  mImpl->mState->mLog.Write(
    "entry",
    "reloaded",
    { { "outcome", "refused, nothing changed" }, { "reason", aReason.mText } });
}

void
NodeDaemon::Leave()
{
  auto& state = *mImpl->mState;
  auto const requestTime = Clock::now();
  auto const deadline =
    requestTime + mImpl->mShutdownGrace - kRouterRemovalTime - kShutdownTime;
  state.mLog.Write("entry", "asked_to_leave", {});
  bool const staysReady =
    state.mSettings.mMechanisms.Uses(Mechanism::StayReady);
  while (staysReady && !state.mMayLeave && Clock::now() < deadline) {
    std::this_thread::sleep_for(kLeavePollPeriod);
  }
  auto const waited =
    std::chrono::duration_cast<milliseconds>(Clock::now() - requestTime);
  state.mLog.Write(
    "entry", "leaving", { { "waited_ms", std::int64_t{ waited.count() } } });
  state.mIsLeaving = true;
  std::this_thread::sleep_for(kRouterRemovalTime);
  for (auto const& watch : mImpl->mWatches) {
    watch->Cancel();
  }
  state.mLog.Write("entry", "stopped", {});
}

} // namespace tarragonsill
