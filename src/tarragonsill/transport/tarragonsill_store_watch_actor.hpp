#ifndef TARRAGONSILL_STORE_WATCH_ACTOR_HPP_INCLUDED
#define TARRAGONSILL_STORE_WATCH_ACTOR_HPP_INCLUDED

#include "tarragonsill/platform/tarragonsill_platform_objects.hpp"
#include "tarragonsill/transport/tarragonsill_node_state.hpp"
#include "tarragonsill/transport/tarragonsill_store_watch.hpp"

#include <memory>

#include <caf/all.hpp>

/// The actor that watches one kind of objects of the platform's store and sends
/// what it reads to the node actor.
namespace tarragonsill {

using PlatformWatch = StoreWatch<Platform::ObjectFormat>;

/// Runs on its own thread, since each call blocks until it is answered. Makes
/// no calls before it receives `SetWatchRole`.
caf::behavior StoreWatchActor(caf::event_based_actor* aSelf,
                              std::shared_ptr<NodeState> aState,
                              caf::actor aNodeActor,
                              ObjectKind aKind,
                              std::shared_ptr<PlatformWatch> aWatch);

} // namespace tarragonsill

#endif // TARRAGONSILL_STORE_WATCH_ACTOR_HPP_INCLUDED
