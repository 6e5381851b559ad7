#pragma once

#include "peertransport.h"

#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace currantring {

/** Far longer than any condition takes, for a machine that is busy. */
inline constexpr std::chrono::seconds patience { 60 };

/** What arrived at one transport, to be waited for. */
class Arrivals
{
public:
    /** Messages of this text are refused as undecodable. */
    static constexpr std::string_view undecodable = "undecodable";

    bool add(const HostId &from, std::string bytes)
    {
        const std::scoped_lock lock(m_mutex);
        if (bytes == undecodable) {
            return false;
        }
        m_messages.emplace_back(from, std::move(bytes));
        m_changed.notify_all();
        return true;
    }

    void addConnection()
    {
        const std::scoped_lock lock(m_mutex);
        ++m_connections;
        m_changed.notify_all();
    }

    void addLoss()
    {
        const std::scoped_lock lock(m_mutex);
        ++m_losses;
        m_changed.notify_all();
    }

    /** Waits until @p count messages have come. */
    bool waitForMessages(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, patience, [&] { return m_messages.size() >= count; });
    }

    /** Waits until a link has been connected @p count times. */
    bool waitForConnections(int count)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, patience, [&] { return m_connections >= count; });
    }

    bool waitForLosses(int count)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, patience, [&] { return m_losses >= count; });
    }

    std::vector<std::pair<HostId, std::string>> messages()
    {
        const std::scoped_lock lock(m_mutex);
        return m_messages;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::pair<HostId, std::string>> m_messages;
    int m_connections = 0;
    int m_losses = 0;
};

/** The options of a transport on a free port of this machine. */
PeerTransportOptions testOptions(const std::string &host);

/** A started transport and what arrives at it. */
class TestTransport
{
public:
    explicit TestTransport(PeerTransportOptions options);

    HostId id;
    Arrivals arrivals;
    PeerTransport transport;
};

/** Connects @p from to @p to and waits until messages are taken. */
bool connectTo(TestTransport &from, const TestTransport &to);

/** A plain TCP socket of the test: a listener that says nothing, or a client that says anything. */
class PlainSocket
{
public:
    /** Listens on a free port and never answers. */
    static PlainSocket listening();
    /** Connects to @p address. */
    static PlainSocket connectedTo(const Address &address);
    ~PlainSocket();
    PlainSocket(PlainSocket &&other) noexcept;
    PlainSocket(const PlainSocket &) = delete;
    PlainSocket &operator=(const PlainSocket &) = delete;

    [[nodiscard]] Address address() const;
    /** Takes a connection and never answers on it. Precondition: listening. */
    [[nodiscard]] PlainSocket accept() const;
    void write(std::string_view bytes) const;
    /** Reads until the other end closes; false after the patience. */
    [[nodiscard]] bool readToEnd() const;

private:
    explicit PlainSocket(int descriptor);

    int m_descriptor;
};

} // namespace currantring
