#pragma once

#include "eventloop.h"
#include "strongtype.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace currantring::net {

/** IP number of the other end of a connection. */
using PeerIp = Strong<std::string, struct PeerIpTag>;

/** What a connection does at present, as far as that matters for giving way to a new one. */
enum class ConnectionUse {
    /** It has never sent a whole request. */
    NoRequestYet,
    /** It has sent one, and nothing since. */
    Idle,
    /** It has sent one, and a part of the next. */
    PartOfNext,
    /** A request of it waits for its response, or the response is being sent. */
    UnderWay,
};

/** A connection that takes one of the places of a server. */
struct OpenConnection
{
    /** A later one has a greater key. */
    std::uint64_t key = 0;
    PeerIp peer;
    ConnectionUse use = ConnectionUse::NoRequestYet;
    /** When it came to its present use. */
    EventLoop::Clock::time_point since;
};

/**
 * Decides which connection is closed so that a new one finds a place, when all places are taken.
 *
 * For clients that take all connections and keep them: silent ones, ones that send a request now and then, and ones
 * that begin requests and don't end them. Requests under way are spared, so the new connection may be closed instead.
 * First go those that had their time and never sent a whole request, then idle ones, then parts of requests; of each
 * kind those of peers with more than an even share of the connections, and of them the one that is so for longest. A
 * peer may stand for many callers behind a balancer, so its share only decides among equals.
 *
 * @p newcomer is the new connection's peer. Nullopt: the new one is to be closed. Thread safety: reentrant.
 */
std::optional<std::uint64_t> connectionToClose(const std::vector<OpenConnection> &open, const PeerIp &newcomer,
                                               EventLoop::Clock::time_point now);

} // namespace currantring::net
