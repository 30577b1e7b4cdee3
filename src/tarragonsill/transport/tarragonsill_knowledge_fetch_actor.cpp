#include "tarragonsill/transport/tarragonsill_knowledge_fetch_actor.hpp"

#include "tarragonsill/transport/tarragonsill_knowledge_server.hpp"
#include "tarragonsill/transport/tarragonsill_node_messages.hpp"

#include <memory>

namespace tarragonsill {

namespace {

constexpr milliseconds kFetchTimeout{ 500 };

} // namespace

caf::behavior
KnowledgeFetchActor(caf::event_based_actor* aSelf)
{
  return { [aSelf](FetchKnowledge const& aFetch) {
    auto const requester = caf::actor_cast<caf::actor>(aSelf->current_sender());
    auto lists =
      FetchFromPeer(aFetch.mPeer.mCalls, aFetch.mOwnDigest, kFetchTimeout);
    if (!lists) {
      aSelf->send(requester,
                  KnowledgeFetched{
                    aFetch.mPeer.mName, nullptr, lists.LastReason().mText });
      return;
    }
    aSelf->send(
      requester,
      KnowledgeFetched{ aFetch.mPeer.mName,
                        std::make_shared<KnowledgeLists const>(lists.Take()),
                        {} });
  } };
}

} // namespace tarragonsill
