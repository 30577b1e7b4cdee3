#ifndef TARRAGONSILL_SOCKET_ADDRESS_HPP_INCLUDED
#define TARRAGONSILL_SOCKET_ADDRESS_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_address.hpp"

#include <netinet/in.h>

/// Conversion between endpoints and socket addresses of the system.
namespace tarragonsill {

inline sockaddr_in
ToSocketAddress(Endpoint aEndpoint)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(aEndpoint.mAddress.mValue);
  address.sin_port = htons(aEndpoint.mPort);
  return address;
}

inline Endpoint
FromSocketAddress(sockaddr_in const& aAddress)
{
  return { { ntohl(aAddress.sin_addr.s_addr) }, ntohs(aAddress.sin_port) };
}

} // namespace tarragonsill

#endif // TARRAGONSILL_SOCKET_ADDRESS_HPP_INCLUDED
