#include "tarragonsill/transport/tarragonsill_entry_daemon.hpp"

#include "tarragonsill/transport/tarragonsill_call_actor.hpp"
#include "tarragonsill/transport/tarragonsill_call_service.hpp"
#include "tarragonsill/transport/tarragonsill_configuration_actor.hpp"
#include "tarragonsill/transport/tarragonsill_control_actor.hpp"
#include "tarragonsill/transport/tarragonsill_control_link.hpp"
#include "tarragonsill/transport/tarragonsill_incarnation.hpp"
#include "tarragonsill/transport/tarragonsill_log.hpp"
#include "tarragonsill/transport/tarragonsill_status_server.hpp"

#include <algorithm>
#include <thread>

namespace tarragonsill {

namespace {

constexpr milliseconds kLeavePollPeriod{ 20 };
/// Time for the peers to learn of the leave, during which packets in flight are
/// still forwarded.
constexpr milliseconds kLeavePropagationTime{ 1500 };
constexpr int kSchedulerThreads = 2;

caf::actor_system_config&
PrepareActorSystemConfig(caf::actor_system_config& aConfig)
{
  aConfig.add_message_types<caf::id_block::tarragonsill>();
  aConfig.set("scheduler.max-threads", kSchedulerThreads);
  // The default policy, work stealing, polls and uses much of a core on an idle
  // VM; work sharing blocks while there is no work.
  aConfig.set("scheduler.policy", caf::atom("sharing"));
  return aConfig;
}

} // namespace

struct EntryDaemon::Impl
{
  explicit Impl(Settings aSettings)
    : mState(std::make_shared<EntryState>())
    , mChannels(
        std::make_shared<CallChannels>([state = mState](Endpoint aAddress) {
          return state->IsDenied(aAddress);
        }))
    , mSystem(PrepareActorSystemConfig(mConfig))
  {
    mState->mDenied.Set(aSettings.mDenied);
    mState->mSettings = std::move(aSettings);
  }
  ~Impl()
  {
    mCallServer.reset();
    mStatusServer.reset();
    for (auto const& actor : mActors) {
      caf::anon_send_exit(actor, caf::exit_reason::kill);
    }
    mActors.clear();
    mControl = caf::actor{};
    mService.reset();
    mSystem.await_all_actors_done();
  }

  void StartActors();

  std::shared_ptr<EntryState> mState;
  std::shared_ptr<CallChannels> mChannels;
  std::unique_ptr<PacketWorker> mWorker;
  std::unique_ptr<ControlLink> mControlLink;
  caf::actor_system_config mConfig;
  caf::actor_system mSystem;
  caf::actor mControl;
  std::vector<caf::actor> mActors;
  std::shared_ptr<CallService> mService;
  std::unique_ptr<CallServer> mCallServer;
  std::unique_ptr<StatusServer> mStatusServer;
};

void
EntryDaemon::Impl::StartActors()
{
  auto const& settings = mState->mSettings;
  PlatformClient::Options options;
  options.mAddress = settings.mPlatform;
  options.mCallsPerSecond = settings.mPlatformCallsPerSecond;
  options.mSeed = HashText(settings.mEntry);
  options.mIsDenied = [state = mState](Endpoint aAddress) {
    return state->IsDenied(aAddress);
  };
  PlatformActorArguments const platform{
    mState, std::make_shared<PlatformClient>(options, mState->mCounters)
  };
  auto const calls = mSystem.spawn(CallActor);
  auto const peerFetch =
    mSystem.spawn<caf::detached>(PeerFetchActor, mState, mChannels);
  ControlActorArguments arguments;
  arguments.mState = mState;
  arguments.mWorker = mWorker.get();
  arguments.mSend = [link = mControlLink.get()](Endpoint aTo,
                                                std::string const& aBytes) {
    link->Send(aTo, aBytes);
  };
  arguments.mCalls = calls;
  arguments.mPeerFetch = peerFetch;
  arguments.mIncarnation = NewIncarnation();
  mControl = mSystem.spawn(ControlActor, std::move(arguments));
  auto const configurationWatch =
    mSystem.spawn<caf::detached>(ConfigurationWatchActor, platform, mControl);
  auto const vmList =
    mSystem.spawn<caf::detached>(VmListActor, platform, mControl);
  mActors = { configurationWatch, vmList, peerFetch, mControl, calls };
  mService = std::make_shared<CallService>(mState, mChannels, mSystem, calls);
}

EntryDaemon::EntryDaemon(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

EntryDaemon::~EntryDaemon() = default;

Result<std::unique_ptr<EntryDaemon>>
EntryDaemon::Start(Settings aSettings)
{
  auto impl = std::make_unique<Impl>(std::move(aSettings));
  auto const& settings = impl->mState->mSettings;
  auto control = UdpSocket::Bind(settings.mControl);
  if (!control) {
    return control.LastReason();
  }
  auto const isAllowed = [state = impl->mState](Endpoint aPeer) {
    return AnyContains(state->mSettings.mPeers, aPeer.mAddress) &&
           !state->IsDenied(aPeer);
  };
  impl->mControlLink = std::make_unique<ControlLink>(
    control.Take(), impl->mState->mCounters, isAllowed);
  auto worker = PacketWorker::Start(settings, impl->mState->mCounters);
  if (!worker) {
    return worker.LastReason();
  }
  impl->mWorker = worker.Take();
  impl->StartActors();
  impl->mControlLink->Start(impl->mControl);
  auto callServer =
    CallServer::Start(settings.mCalls, impl->mService, impl->mState);
  if (!callServer) {
    return callServer.LastReason();
  }
  impl->mCallServer = callServer.Take();
  auto statusServer = StatusServer::Start(impl->mState);
  if (!statusServer) {
    return statusServer.LastReason();
  }
  impl->mStatusServer = statusServer.Take();
  LogInfo("entry: started entry=" + settings.mEntry +
          " zone=" + settings.mZone + " data=" + ToText(settings.mData));
  return std::unique_ptr<EntryDaemon>(new EntryDaemon(std::move(impl)));
}

void
EntryDaemon::Reload(Settings const& aSettings)
{
  mImpl->mState->mDenied.Set(aSettings.mDenied);
  WorkerUpdate update;
  update.mDenied = aSettings.mDenied;
  mImpl->mWorker->Post(std::move(update));
  LogInfo("entry: reloaded settings, denied " +
          std::to_string(aSettings.mDenied.size()) + " networks");
}

bool
EntryDaemon::Leave(milliseconds aTimeout)
{
  auto const end = Clock::now() + aTimeout;
  mImpl->mService->StopAdmitting();
  while (mImpl->mService->CallsInProgress() > 0 && Clock::now() < end) {
    std::this_thread::sleep_for(kLeavePollPeriod);
  }
  caf::anon_send(mImpl->mControl, LeaveAtom::value);
  bool isHandoverComplete = false;
  while (!isHandoverComplete && Clock::now() < end) {
    std::this_thread::sleep_for(kLeavePollPeriod);
    isHandoverComplete = mImpl->mState->mStatus.Value().mIsHandoverComplete;
  }
  std::this_thread::sleep_for(kLeavePropagationTime);
  LogInfo(isHandoverComplete
            ? "entry: handed over and stopped"
            : "entry: stopped before the handover was complete");
  return isHandoverComplete;
}

} // namespace tarragonsill
