#pragma once

#include "ids.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include <nghttp2/nghttp2.h>

namespace currantring {

/** Bounds that one HTTP/2 session keeps towards its peer. */
struct Http2Limits
{
    std::size_t maximumMessageBytes = 0;
    /** Bodies that may be held incomplete at once. */
    std::size_t maximumBufferedBytes = 0;
};

/**
 * The HTTP/2 side of one connection between hosts, without its socket: bytes go in and come out.
 *
 * A client sends messages as requests, a server takes them. Thread safety: one thread at a time.
 */
class Http2Session
{
public:
    enum class Role { Client, Server };

    /** What the session reports; runs inside receive() and produce(). None may destroy the session or throw. */
    struct Handlers
    {
        /** The peer speaks HTTP/2. */
        std::function<void()> onReady;
        /** Server: a whole message; false when its bytes are none. */
        std::function<bool(const HostId &from, std::string bytes)> onMessage;
        /** Client: a message of @p size bytes is done with, confirmed or not. */
        std::function<void(std::size_t size, bool confirmed)> onDone;
        std::function<void()> onOversize;
        /** A stream or the session is given up because of what came in. */
        std::function<void(std::string_view reason)> onGarbage;
    };

    Http2Session(Role role, HostId self, Http2Limits limits, Handlers handlers);
    ~Http2Session();
    Http2Session(const Http2Session &) = delete;
    Http2Session &operator=(const Http2Session &) = delete;

    /** Takes in what the peer sent. */
    void receive(std::string_view bytes);
    /** Appends what is to be sent to @p out, about @p limit bytes at most. */
    void produce(std::string &out, std::size_t limit);
    /** Whether nothing is left to say or hear, so that the connection should be closed. */
    [[nodiscard]] bool isOver() const;

    /** Client: messages that are neither confirmed nor refused yet. */
    [[nodiscard]] std::size_t unfinished() const;

    /** Client: sends @p bytes as one request; false when the session takes no more. */
    bool submit(std::string bytes);
    /** Asks the peer for a sign of life. */
    void ping();
    /** Says goodbye; streams under way end without an answer. */
    void terminate();

private:
    /** Server: a message that is coming in. */
    struct Incoming
    {
        std::string method;
        std::string path;
        HostId sender;
        std::string body;
        bool isRefused = false;
    };
    /** Client: a message that is going out. */
    struct Outgoing
    {
        std::string bytes;
        std::size_t offset = 0;
        bool isConfirmed = false;
    };
    struct Callbacks;

    void beginStream(std::int32_t stream);
    void takeHeader(std::int32_t stream, std::string_view name, std::string_view value);
    void takeData(std::int32_t stream, std::string_view data);
    void finishRequest(std::int32_t stream);
    void endStream(std::int32_t stream, std::uint32_t error);
    void takeFrame(const nghttp2_frame &frame);
    void noteSent(const nghttp2_frame &frame);
    void refuse(std::int32_t stream, std::uint32_t error);
    ssize_t readBody(std::int32_t stream, std::uint8_t *target, std::size_t size, std::uint32_t &flags);

    Role m_role;
    HostId m_self;
    Http2Limits m_limits;
    Handlers m_handlers;
    std::map<std::int32_t, Incoming> m_incoming;
    std::map<std::int32_t, Outgoing> m_outgoing;
    std::size_t m_bufferedBytes = 0;
    bool m_isReady = false;
    bool m_isBroken = false;
    std::unique_ptr<nghttp2_session, void (*)(nghttp2_session *)> m_session;
};

} // namespace currantring
