#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace currantring::net {

/**
 * Decides which connection of a server is closed when all together hold more memory than the budget.
 *
 * For the load of many clients that each stay within the limits of one connection and hold as much as these allow, for
 * example a large body without its last byte: they are closed, and small requests beside them are served. Among equals
 * the oldest connection is closed, since the others may still end their requests. Thread safety: one thread at a time.
 */
class ConnectionMemory
{
public:
    /** Key of a connection; a later one has a greater key. */
    using Key = std::uint64_t;

    void setBudget(std::size_t bytes);
    /** Notes what the connection @p key holds now. */
    void note(Key key, std::size_t bytes);
    void remove(Key key);
    /** Bytes that all connections hold. */
    [[nodiscard]] std::size_t held() const;
    /** Bytes that the connection holds; 0 when it is unknown. */
    [[nodiscard]] std::size_t heldBy(Key key) const;
    /** The connection that is to be closed next; nullopt within the budget. */
    [[nodiscard]] std::optional<Key> excess() const;

private:
    std::size_t m_budget = 0;
    std::size_t m_held = 0;
    std::map<Key, std::size_t> m_connections;
};

} // namespace currantring::net
