#ifndef TARRAGONSILL_LAB_LISTENER_HPP_INCLUDED
#define TARRAGONSILL_LAB_LISTENER_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_address.hpp"
#include "tarragonsill/state/tarragonsill_reason.hpp"
#include "tarragonsill/transport/tarragonsill_file_descriptor.hpp"

/// Sockets on which stand-ins take TCP connections.
namespace tarragonsill::Lab {

/// A socket that listens and never waits; the reason is `SystemFailure`.
Result<FileDescriptor> Listen(Endpoint aAddress);

/// Takes the next connection that waits; none is open if none does.
FileDescriptor AcceptConnection(FileDescriptor const& aListener);

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_LISTENER_HPP_INCLUDED
