#ifndef TARRAGONSILL_NODE_MESSAGES_HPP_INCLUDED
#define TARRAGONSILL_NODE_MESSAGES_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_directory.hpp"
#include "tarragonsill/transport/tarragonsill_actor_messages.hpp"

#include <memory>

/// Messages between the actors of an entry VM that steers by cookie.
namespace tarragonsill {

/// Objects that were read from the store.
struct StoreNewsReceived
{
  std::shared_ptr<StoreNews const> mNews;
};

/// Whether the store answered the last call for a kind of objects.
struct StoreAnswered
{
  ObjectKind mKind = ObjectKind::Configuration;
  bool mAnswered = false;
};

} // namespace tarragonsill

CAF_BEGIN_TYPE_ID_BLOCK(tarragonsill_node, first_custom_type_id + 100)
CAF_ADD_TYPE_ID(tarragonsill_node, (tarragonsill::StoreNewsReceived))
CAF_ADD_TYPE_ID(tarragonsill_node, (tarragonsill::StoreAnswered))
CAF_END_TYPE_ID_BLOCK(tarragonsill_node)

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tarragonsill::StoreNewsReceived)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tarragonsill::StoreAnswered)

#endif // TARRAGONSILL_NODE_MESSAGES_HPP_INCLUDED
