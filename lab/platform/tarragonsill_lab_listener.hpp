#ifndef TARRAGONSILL_LAB_LISTENER_HPP_INCLUDED
#define TARRAGONSILL_LAB_LISTENER_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_address.hpp"
#include "tarragonsill/state/tarragonsill_reason.hpp"
#include "tarragonsill/transport/tarragonsill_file_descriptor.hpp"

/// Listening TCP sockets of the lab's stand-ins.
namespace tarragonsill::Lab {

/// Opens a non-blocking listening socket. Fails with `SystemFailure`.
Result<FileDescriptor> Listen(Endpoint aAddress);

/// Accepts the next pending connection. Returns a closed descriptor if there is
/// none.
FileDescriptor AcceptConnection(FileDescriptor const& aListener);

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_LISTENER_HPP_INCLUDED
