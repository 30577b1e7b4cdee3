#ifndef TARRAGONSILL_CONFIGURATION_ACTOR_HPP_INCLUDED
#define TARRAGONSILL_CONFIGURATION_ACTOR_HPP_INCLUDED

#include "tarragonsill/transport/tarragonsill_call_channels.hpp"
#include "tarragonsill/transport/tarragonsill_entry_state.hpp"
#include "tarragonsill/transport/tarragonsill_platform_client.hpp"

/// The actors that talk to the platform and fetch configurations from peers.
/// Their calls block, so each of them runs on a thread of its own.
namespace tarragonsill {

/// The name of the object that holds a deployment's configuration.
std::string ConfigurationObjectName(std::string const& aDeployment);

/// Parses a configuration; `aVersion` is the object's version.
Result<std::shared_ptr<Configuration const>> ParseConfigurationText(
  std::string const& aText,
  StorePosition aPosition);

struct PlatformActorArguments
{
  std::shared_ptr<EntryState> mState;
  std::shared_ptr<PlatformClient> mClient;
};

/// Fetches the configuration from a peer when told of one by a `Member`
/// message, and sends it back as `ConfigurationReceived`.
caf::behavior PeerFetchActor(caf::event_based_actor* aSelf,
                             std::shared_ptr<EntryState> aState,
                             std::shared_ptr<CallChannels> aChannels);

/// Long-polls the configuration object while this entry VM is a watcher.
caf::behavior ConfigurationWatchActor(caf::event_based_actor* aSelf,
                                      PlatformActorArguments aArguments,
                                      caf::actor aControl);

/// Reads the VM list once a second while this entry VM is a watcher.
caf::behavior VmListActor(caf::event_based_actor* aSelf,
                          PlatformActorArguments aArguments,
                          caf::actor aControl);

} // namespace tarragonsill

#endif // TARRAGONSILL_CONFIGURATION_ACTOR_HPP_INCLUDED
