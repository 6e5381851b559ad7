#include "socket.h"

#include <array>
#include <charconv>
#include <cstring>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace currantring {

namespace {

constexpr int listenBacklog = 128;

void disableDelay(int socket)
{
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

template<typename Native>
SocketAddress fromNative(const Native &native)
{
    SocketAddress address;
    std::memcpy(&address.storage, &native, sizeof(native));
    address.size = sizeof(native);
    return address;
}

Address addressOf(int socket, int (*query)(int, sockaddr *, socklen_t *))
{
    SocketAddress address;
    address.size = sizeof(address.storage);
    if (query(socket, reinterpret_cast<sockaddr *>(&address.storage), &address.size) != 0) {
        return {};
    }
    return formatSocketAddress(address);
}

FileDescriptor openSocket(const SocketAddress &address)
{
    return FileDescriptor(::socket(address.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

} // namespace

std::optional<SocketAddress> parseSocketAddress(const Address &address)
{
    const std::string &text = address.value();
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char *const end = text.data() + text.size();
    const auto number = std::from_chars(text.data() + colon + 1, end, port);
    if (number.ec != std::errc() || number.ptr != end) {
        return std::nullopt;
    }
    const std::string host = text.substr(0, colon);
    sockaddr_in native4 {};
    native4.sin_family = AF_INET;
    native4.sin_port = htons(port);
    if (::inet_pton(AF_INET, host.c_str(), &native4.sin_addr) == 1) {
        return fromNative(native4);
    }
    sockaddr_in6 native6 {};
    native6.sin6_family = AF_INET6;
    native6.sin6_port = htons(port);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']'
        && ::inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), &native6.sin6_addr) == 1) {
        return fromNative(native6);
    }
    return std::nullopt;
}

Address formatSocketAddress(const SocketAddress &address)
{
    std::array<char, INET6_ADDRSTRLEN> text {};
    if (address.storage.ss_family == AF_INET) {
        sockaddr_in native {};
        std::memcpy(&native, &address.storage, sizeof(native));
        ::inet_ntop(AF_INET, &native.sin_addr, text.data(), text.size());
        return Address(std::string(text.data()) + ":" + std::to_string(ntohs(native.sin_port)));
    }
    sockaddr_in6 native {};
    std::memcpy(&native, &address.storage, sizeof(native));
    ::inet_ntop(AF_INET6, &native.sin6_addr, text.data(), text.size());
    return Address("[" + std::string(text.data()) + "]:" + std::to_string(ntohs(native.sin6_port)));
}

FileDescriptor listenOn(const SocketAddress &address)
{
    FileDescriptor socket = openSocket(address);
    if (!socket.isValid()) {
        return socket;
    }
    // A restarted process takes its port back from connections that linger.
    const int on = 1;
    ::setsockopt(socket.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (::bind(socket.get(), reinterpret_cast<const sockaddr *>(&address.storage), address.size) != 0
        || ::listen(socket.get(), listenBacklog) != 0) {
        const int error = errno;
        socket.reset();
        errno = error;
    }
    return socket;
}

FileDescriptor beginConnect(const SocketAddress &address)
{
    FileDescriptor socket = openSocket(address);
    if (!socket.isValid()) {
        return socket;
    }
    disableDelay(socket.get());
    const auto *const native = reinterpret_cast<const sockaddr *>(&address.storage);
    if (::connect(socket.get(), native, address.size) != 0 && errno != EINPROGRESS) {
        const int error = errno;
        socket.reset();
        errno = error;
    }
    return socket;
}

FileDescriptor acceptFrom(int listener)
{
    SocketAddress peer;
    return acceptFrom(listener, peer);
}

FileDescriptor acceptFrom(int listener, SocketAddress &peer)
{
    peer.size = sizeof(peer.storage);
    auto *const native = reinterpret_cast<sockaddr *>(&peer.storage);
    FileDescriptor socket(::accept4(listener, native, &peer.size, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (socket.isValid()) {
        disableDelay(socket.get());
    }
    return socket;
}

Address localAddress(int socket)
{
    return addressOf(socket, [](int descriptor, sockaddr *address, socklen_t *size) {
        return ::getsockname(descriptor, address, size);
    });
}

Address remoteAddress(int socket)
{
    return addressOf(socket, [](int descriptor, sockaddr *address, socklen_t *size) {
        return ::getpeername(descriptor, address, size);
    });
}

} // namespace currantring
