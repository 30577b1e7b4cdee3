#ifndef TARRAGONSILL_CONTROL_ACTOR_HPP_INCLUDED
#define TARRAGONSILL_CONTROL_ACTOR_HPP_INCLUDED

#include "tarragonsill/transport/tarragonsill_entry_state.hpp"

#include <functional>

/// The actor that runs the control plane of one entry VM.
namespace tarragonsill {

struct ControlActorArguments
{
  std::shared_ptr<EntryState> mState;
  PacketWorker* mWorker = nullptr; ///< Must outlive the actor system.
  /// Sends a control datagram.
  std::function<void(Endpoint, std::string const&)> mSend;
  caf::actor mCalls;
  caf::actor mPeerFetch;
  std::uint64_t mIncarnation = 1;
};

caf::behavior ControlActor(caf::event_based_actor* aSelf,
                           ControlActorArguments aArguments);

} // namespace tarragonsill

#endif // TARRAGONSILL_CONTROL_ACTOR_HPP_INCLUDED
