#ifndef TARRAGONSILL_CALL_ACTOR_HPP_INCLUDED
#define TARRAGONSILL_CALL_ACTOR_HPP_INCLUDED

#include "tarragonsill/transport/tarragonsill_entry_state.hpp"

/// The actor that holds the call ledger and the slots of the upstreams whose
/// admission leases this entry VM holds.
namespace tarragonsill {

caf::behavior CallActor(caf::event_based_actor* aSelf);

} // namespace tarragonsill

#endif // TARRAGONSILL_CALL_ACTOR_HPP_INCLUDED
