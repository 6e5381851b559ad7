#pragma once

#include "byteconnection.h"
#include "connectionmemory.h"
#include "connectionroom.h"
#include "httpserver.h"
#include "requestreceiver.h"

#include <map>
#include <optional>

namespace currantring::net {

/** State and connection handling of an HttpServer. Thread safety: the event loop's thread only. */
struct HttpServer::Private
{
    /** What a connection waits for. */
    enum class Phase { Idle, Receiving, Answering, Writing };

    struct Connection
    {
        std::uint64_t key = 0;
        std::unique_ptr<ByteConnection> bytes;
        std::optional<RequestReceiver> receiver;
        /** Received and not parsed yet. */
        std::string ahead;
        /** Memory of the request that waits for its response. */
        std::size_t requestBytes = 0;
        std::size_t notedBytes = 0;
        PeerIp peer;
        EventLoop::Clock::time_point accepted;
        /** When it came to its phase. */
        EventLoop::Clock::time_point since;
        bool hasSentRequest = false;
        Phase phase = Phase::Idle;
        RequestToken token;
        bool closesAfterResponse = false;
        std::optional<EventLoop::TimerKey> timer;

        [[nodiscard]] ConnectionUse use() const;
    };
    using ConnectionPointer = std::shared_ptr<Connection>;

    void acceptSome();
    void add(FileDescriptor socket, const PeerIp &peer);
    bool makeRoom(const PeerIp &newcomer);
    void receive(const ConnectionPointer &connection, std::string_view bytes);
    void parseAhead(const ConnectionPointer &connection);
    std::size_t parse(const ConnectionPointer &connection, std::string_view bytes);
    void proceed(const ConnectionPointer &connection);
    void refuse(const ConnectionPointer &connection, RequestFault fault);
    void write(const ConnectionPointer &connection, const HttpResponse &response);
    void finishResponse(const ConnectionPointer &connection);
    void enter(const ConnectionPointer &connection, Phase phase, std::optional<Milliseconds> bound);
    void expire(const ConnectionPointer &connection);
    void drop(const ConnectionPointer &connection);
    void noteMemory(Connection &connection);
    void enforceBudget();
    void reportClosed(std::string_view reason, std::size_t bytes) const;
    [[nodiscard]] Milliseconds idleTimeout() const;

    EventLoop &loop;
    Handlers handlers;
    HttpServerLimits limits;
    FileDescriptor listener;
    std::map<std::uint64_t, ConnectionPointer> connections;
    std::map<RequestToken, ConnectionPointer> waiting;
    std::uint64_t lastKey = 0;
    std::uint64_t lastToken = 0;
    std::optional<Milliseconds> windingIdle;
    ConnectionMemory memory;
};

} // namespace currantring::net
