#pragma once

#include "filedescriptor.h"
#include "ids.h"

#include <optional>
#include <string>

#include <sys/socket.h>

namespace currantring {

/** An address in the form that the system calls take. */
struct SocketAddress
{
    sockaddr_storage storage {};
    socklen_t size = 0;
};

/** Reads `127.0.0.1:7001` or `[::1]:7001`; nullopt for anything else. Thread safety: reentrant. */
std::optional<SocketAddress> parseSocketAddress(const Address &address);
/** The inverse of parseSocketAddress(). Thread safety: reentrant. */
Address formatSocketAddress(const SocketAddress &address);

/** Opens a listening socket; invalid with errno set on failure. Thread safety: reentrant. */
FileDescriptor listenOn(const SocketAddress &address);
/** Begins to connect; a failure shows on the socket, or as an invalid one. Thread safety: reentrant. */
FileDescriptor beginConnect(const SocketAddress &address);
/**
 * Takes one waiting connection and sets @p peer to the address of its other end; invalid with errno set when there is
 * none. Thread safety: reentrant.
 */
FileDescriptor acceptFrom(int listener, SocketAddress &peer);
/** As above, for callers that don't need the address. */
FileDescriptor acceptFrom(int listener);

/** Address of this end; empty when unknown. Thread safety: reentrant. */
Address localAddress(int socket);
/** Address of the other end; empty when unknown. Thread safety: reentrant. */
Address remoteAddress(int socket);

} // namespace currantring
