#include "tarragonsill/transport/tarragonsill_configuration_actor.hpp"

#include "tarragonsill/protocol/tarragonsill_configuration_yaml.hpp"
#include "tarragonsill/transport/tarragonsill_log.hpp"

#include <algorithm>

namespace tarragonsill {

namespace {

constexpr milliseconds kLongPollWait{ 1000 };
constexpr milliseconds kIdlePeriod{ 300 };
constexpr milliseconds kVmListPeriod{ 1000 };
constexpr milliseconds kPeerTimeout{ 1000 };

/// Counts consecutive failures. Logs the first failure and the recovery.
class FailureLog
{
public:
  explicit FailureLog(std::string aLogPrefix)
    : mLogPrefix(std::move(aLogPrefix))
  {
  }

  void RecordFailure(Reason const& aReason)
  {
    if (mFailures++ == 0) {
      LogWarn(mLogPrefix + "platform is not available: " + aReason.mText);
    }
  }
  void RecordSuccess()
  {
    if (mFailures > 0) {
      LogInfo(mLogPrefix + "platform is available again");
    }
    mFailures = 0;
  }
  unsigned Failures() const { return mFailures; }

private:
  std::string mLogPrefix;
  unsigned mFailures = 0;
};

/// Parses a configuration and sends it to the control actor. An invalid one is
/// logged and dropped.
void
ForwardConfiguration(caf::event_based_actor* aSelf,
                     caf::actor const& aControl,
                     EntryState& aState,
                     std::string const& aText,
                     StorePosition aPosition,
                     std::string const& aSource)
{
  auto configuration = ParseConfigurationText(aText, aPosition);
  if (!configuration) {
    aState.mCounters.Add(Counter::ConfigurationsRefused);
    LogError("config: version " + ToText(aPosition) +
             " is refused: " + configuration.LastReason().mText);
    return;
  }
  aSelf->send(aControl,
              ConfigurationReceived{ configuration.Take(), aText, aSource });
}

} // namespace

std::string
ConfigurationObjectName(std::string const& aDeployment)
{
  return aDeployment + "-configuration";
}

Result<std::shared_ptr<Configuration const>>
ParseConfigurationText(std::string const& aText, StorePosition aPosition)
{
  YamlErrors errors("configuration");
  auto configuration = ReadConfiguration(aText, errors);
  if (!configuration) {
    return Reason{ ReasonCode::Invalid, errors.All().front().ToText() };
  }
  configuration->mVersion = aPosition.mRevision;
  configuration->mEra = aPosition.mEra;
  return std::shared_ptr<Configuration const>(
    std::make_shared<Configuration>(std::move(*configuration)));
}

caf::behavior
PeerFetchActor(caf::event_based_actor* aSelf,
               std::shared_ptr<EntryState> aState,
               std::shared_ptr<CallChannels> aChannels)
{
  return {
    [=](Member const& aPeer) {
      auto const control = caf::actor_cast<caf::actor>(aSelf->current_sender());
      if (!aChannels->Connect(aPeer.mCalls, kPeerTimeout)) {
        return;
      }
      auto const held = aState->mConfigurationText.Value().mPosition;
      auto const stub = wire::Entry::NewStub(aChannels->To(aPeer.mCalls));
      grpc::ClientContext context;
      context.set_deadline(std::chrono::system_clock::now() + kPeerTimeout);
      wire::ConfigurationRequest request;
      request.set_newer_than(held.mRevision);
      request.set_newer_than_era(held.mEra);
      wire::ConfigurationReply reply;
      auto const status = stub->FetchConfiguration(&context, request, &reply);
      StorePosition const offered{ reply.era(), reply.version() };
      if (!status.ok() || offered <= held) {
        return;
      }
      ForwardConfiguration(
        aSelf, control, *aState, reply.text(), offered, "peer:" + aPeer.mName);
    },
  };
}

caf::behavior
ConfigurationWatchActor(caf::event_based_actor* aSelf,
                        PlatformActorArguments aArguments,
                        caf::actor aControl)
{
  auto const failures = std::make_shared<FailureLog>("config: ");
  aSelf->send(aSelf, TickAtom::value);
  return {
    [=](TickAtom) {
      auto& state = *aArguments.mState;
      auto const status = state.mStatus.Value();
      bool const shouldWatch = status.mIsWatcher || status.mVersion == 0;
      if (!shouldWatch) {
        aSelf->delayed_send(aSelf, kIdlePeriod, TickAtom::value);
        return;
      }
      auto const object = aArguments.mClient->Watch(
        ConfigurationObjectName(state.mSettings.mDeployment),
        state.mConfigurationText.Value().mPosition,
        kLongPollWait);
      if (object) {
        failures->RecordSuccess();
        ForwardConfiguration(
          aSelf, aControl, state, object->mText, object->mPosition, "platform");
        aSelf->delayed_send(aSelf, kIdlePeriod, TickAtom::value);
        return;
      }
      auto const code = object.LastReason().mCode;
      if (code == ReasonCode::Timeout) {
        failures->RecordSuccess();
        aSelf->send(aSelf, TickAtom::value);
        return;
      }
      failures->RecordFailure(object.LastReason());
      aSelf->delayed_send(aSelf,
                          aArguments.mClient->Backoff(failures->Failures()),
                          TickAtom::value);
    },
  };
}

caf::behavior
VmListActor(caf::event_based_actor* aSelf,
            PlatformActorArguments aArguments,
            caf::actor aControl)
{
  aSelf->send(aSelf, TickAtom::value);
  return {
    [=](TickAtom) {
      aSelf->delayed_send(aSelf, kVmListPeriod, TickAtom::value);
      auto const status = aArguments.mState->mStatus.Value();
      if (!status.mIsWatcher && status.mVersion != 0) {
        return;
      }
      auto vms = aArguments.mClient->ListVms();
      if (vms) {
        aSelf->send(aControl, VmListReceived{ vms.Take() });
      }
    },
  };
}

} // namespace tarragonsill
