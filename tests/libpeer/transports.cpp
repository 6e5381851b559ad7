#include "transports.h"

#include "socket.h"

#include <array>
#include <utility>

#include <boost/test/unit_test.hpp>

#include <poll.h>

namespace currantring {

namespace {

constexpr int patienceMs = std::chrono::milliseconds(patience).count();

/** Waits until @p socket is ready; false after the patience. */
bool waitFor(int socket, short events)
{
    pollfd entry { socket, events, 0 };
    return ::poll(&entry, 1, patienceMs) == 1;
}

SocketAddress anyPort()
{
    return parseSocketAddress(Address("127.0.0.1:0")).value();
}

} // namespace

PeerTransportOptions testOptions(const std::string &host)
{
    PeerTransportOptions options;
    options.self = HostId(host);
    options.listen = Address("127.0.0.1:0");
    options.peerLink = Chart::load(CURRANTRING_CHARTS "/peerlink.scxml").value();
    // Long enough that a busy machine doesn't look silent; rows about silence shorten it.
    options.silenceBound = std::chrono::milliseconds(patience);
    return options;
}

TestTransport::TestTransport(PeerTransportOptions options)
    : id(options.self)
    , transport(std::move(options),
                { [this](const HostId &from, std::string bytes) { return arrivals.add(from, std::move(bytes)); },
                  [this](const HostId & /*peer*/) { arrivals.addLoss(); },
                  [this](const HostId & /*peer*/) {
                      arrivals.addConnection();
                  } })
{
    const auto started = transport.start();
    BOOST_REQUIRE_MESSAGE(started.has_value(), (started ? std::string() : started.error().message));
}

bool connectTo(TestTransport &from, const TestTransport &to)
{
    from.transport.connect(to.id, to.transport.listenAddress());
    return from.arrivals.waitForConnections(1);
}

PlainSocket::PlainSocket(int descriptor)
    : m_descriptor(descriptor)
{
}

PlainSocket::PlainSocket(PlainSocket &&other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
{
}

PlainSocket::~PlainSocket()
{
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
    }
}

PlainSocket PlainSocket::listening()
{
    return PlainSocket(::dup(listenOn(anyPort()).get()));
}

PlainSocket PlainSocket::connectedTo(const Address &address)
{
    const FileDescriptor socket = beginConnect(parseSocketAddress(address).value());
    BOOST_REQUIRE(waitFor(socket.get(), POLLOUT));
    return PlainSocket(::dup(socket.get()));
}

Address PlainSocket::address() const
{
    return localAddress(m_descriptor);
}

PlainSocket PlainSocket::accept() const
{
    BOOST_REQUIRE(waitFor(m_descriptor, POLLIN));
    return PlainSocket(::dup(acceptFrom(m_descriptor).get()));
}

void PlainSocket::write(std::string_view bytes) const
{
    BOOST_TEST(::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
}

bool PlainSocket::readToEnd() const
{
    std::array<char, 4096> buffer {};
    while (waitFor(m_descriptor, POLLIN)) {
        if (::recv(m_descriptor, buffer.data(), buffer.size(), 0) <= 0) {
            return true;
        }
    }
    return false;
}

} // namespace currantring
