#ifndef TARRAGONSILL_LEASE_ITEMS_HPP_INCLUDED
#define TARRAGONSILL_LEASE_ITEMS_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_configuration.hpp"

#include <tarragonsill_peer.pb.h>

/// Conversions between lease messages and the types of the core.
namespace tarragonsill::Detail {

/// Returns an item of a lease message. `aKnown` is whether `aLimit` is
/// known.
inline wire::LeaseItem
MakeItem(Endpoint aKey, WorkLimit aLimit, std::uint64_t aTerm, bool aKnown)
{
  wire::LeaseItem item;
  item.set_address(aKey.mAddress.mValue);
  item.set_port(aKey.mPort);
  item.set_connections(aLimit.mConnections);
  item.set_slots(aLimit.mSlots);
  item.set_term(aTerm);
  item.set_known(aKnown);
  return item;
}

/// The key of the resource that an item describes.
inline Endpoint
KeyOf(wire::LeaseItem const& aItem)
{
  return { { aItem.address() }, static_cast<std::uint16_t>(aItem.port()) };
}

/// The limits on open work that an item holds.
inline WorkLimit
LimitOf(wire::LeaseItem const& aItem)
{
  return { aItem.connections(), aItem.slots() };
}

} // namespace tarragonsill::Detail

#endif // TARRAGONSILL_LEASE_ITEMS_HPP_INCLUDED
