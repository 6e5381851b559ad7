#include "connectionroom.h"

#include <map>
#include <tuple>

namespace currantring::net {

namespace {

/** A connection has this time for its first request, and for the rest of a later one. */
constexpr Milliseconds timeForRequest { 1000 };
/** While idle ones are the fewer, they are spared for this time, in which the others have theirs and make room. */
constexpr Milliseconds sparedIdleTime { 2000 };

enum class Rank { HadItsTime, Idle, PartOfNext, CrowdOfOnePeer };

class Choice
{
public:
    Choice(const std::vector<OpenConnection> &open, const PeerIp &newcomer, EventLoop::Clock::time_point now)
        : m_open(open)
        , m_newcomer(newcomer)
        , m_now(now)
    {
        for (const OpenConnection &connection : open) {
            ++m_ofPeer[connection.peer];
            m_idle += connection.use == ConnectionUse::Idle ? 1 : 0;
        }
    }

    std::optional<std::uint64_t> key() const
    {
        using Order = std::tuple<Rank, bool, EventLoop::Clock::time_point, std::uint64_t>;
        std::optional<Order> first;
        for (const OpenConnection &connection : m_open) {
            if (const std::optional<Rank> rank = rankOf(connection)) {
                const Order order { *rank, !hasMoreThanEvenShare(connection.peer), connection.since, connection.key };
                first = first ? std::min(*first, order) : order;
            }
        }
        return first ? std::optional(std::get<std::uint64_t>(*first)) : std::nullopt;
    }

private:
    [[nodiscard]] std::optional<Rank> rankOf(const OpenConnection &connection) const
    {
        const auto age = m_now - connection.since;
        const bool hadItsTime = age >= timeForRequest;
        switch (connection.use) {
        case ConnectionUse::NoRequestYet:
            if (hadItsTime) {
                return Rank::HadItsTime;
            }
            // Two more, so that it doesn't close one of its own kind in turn with the newcomer.
            return ofPeer(connection.peer) >= ofPeer(m_newcomer) + 2 ? std::optional(Rank::CrowdOfOnePeer)
                                                                     : std::nullopt;
        case ConnectionUse::Idle:
            return age >= sparedIdleTime || 2 * m_idle > m_open.size() ? std::optional(Rank::Idle) : std::nullopt;
        case ConnectionUse::PartOfNext:
            return hadItsTime ? std::optional(Rank::PartOfNext) : std::nullopt;
        case ConnectionUse::UnderWay:
            break;
        }
        return std::nullopt;
    }

    [[nodiscard]] std::size_t ofPeer(const PeerIp &peer) const
    {
        const auto found = m_ofPeer.find(peer);
        return found == m_ofPeer.end() ? 0 : found->second;
    }

    [[nodiscard]] bool hasMoreThanEvenShare(const PeerIp &peer) const
    {
        return ofPeer(peer) * m_ofPeer.size() > m_open.size();
    }

    const std::vector<OpenConnection> &m_open;
    const PeerIp &m_newcomer;
    const EventLoop::Clock::time_point m_now;
    std::map<PeerIp, std::size_t> m_ofPeer;
    std::size_t m_idle = 0;
};

} // namespace

std::optional<std::uint64_t> connectionToClose(const std::vector<OpenConnection> &open, const PeerIp &newcomer,
                                               EventLoop::Clock::time_point now)
{
    return Choice(open, newcomer, now).key();
}

} // namespace currantring::net
