#ifndef TARRAGONSILL_CONFIGURATION_ACTOR_HPP_INCLUDED
#define TARRAGONSILL_CONFIGURATION_ACTOR_HPP_INCLUDED

#include "tarragonsill/transport/tarragonsill_call_channels.hpp"
#include "tarragonsill/transport/tarragonsill_entry_state.hpp"
#include "tarragonsill/transport/tarragonsill_platform_client.hpp"

/// The actors that call the platform and fetch configurations from peers.
/// Their calls block, so each actor runs on its own thread.
namespace tarragonsill {

/// Returns the name of the object that holds a deployment's configuration.
std::string ConfigurationObjectName(std::string const& aDeployment);

/// Parses a configuration; `aPosition` is the object's store position.
Result<std::shared_ptr<Configuration const>> ParseConfigurationText(
  std::string const& aText,
  StorePosition aPosition);

struct PlatformActorArguments
{
  std::shared_ptr<EntryState> mState;
  std::shared_ptr<PlatformClient> mClient;
};

/// Fetches the configuration from the peer named in a `Member` message and
/// sends it to the sender of that message as `ConfigurationReceived`.
caf::behavior PeerFetchActor(caf::event_based_actor* aSelf,
                             std::shared_ptr<EntryState> aState,
                             std::shared_ptr<CallChannels> aChannels);

/// Long-polls the configuration object while this entry VM is a watcher or has
/// no configuration.
caf::behavior ConfigurationWatchActor(caf::event_based_actor* aSelf,
                                      PlatformActorArguments aArguments,
                                      caf::actor aControl);

/// Reads the VM list once a second while this entry VM is a watcher or has no
/// configuration.
caf::behavior VmListActor(caf::event_based_actor* aSelf,
                          PlatformActorArguments aArguments,
                          caf::actor aControl);

} // namespace tarragonsill

#endif // TARRAGONSILL_CONFIGURATION_ACTOR_HPP_INCLUDED
