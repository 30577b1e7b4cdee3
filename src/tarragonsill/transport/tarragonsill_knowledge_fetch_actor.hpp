#ifndef TARRAGONSILL_KNOWLEDGE_FETCH_ACTOR_HPP_INCLUDED
#define TARRAGONSILL_KNOWLEDGE_FETCH_ACTOR_HPP_INCLUDED

#include <caf/all.hpp>

namespace tarragonsill {

/// Fetches directory state from peers (`FetchKnowledge`). Runs on its own
/// thread, since a fetch blocks until the peer answers.
caf::behavior KnowledgeFetchActor(caf::event_based_actor* aSelf);

} // namespace tarragonsill

#endif // TARRAGONSILL_KNOWLEDGE_FETCH_ACTOR_HPP_INCLUDED
