#pragma once

#include "membership.h"
#include "units.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace currantring {

/**
 * Lets hosts that start the system together agree that nobody has run a request before, and on the hosts that serve.
 *
 * When each shard has a live writer and is in its first epoch, only these writers can ever have had endpoints. Each of
 * them votes once, for the hosts that it then sees to serve, and only if it has run no non-idempotent request yet.
 * When all votes are equal, nobody ran one before its vote, and every writer's history of homes reaches back to the
 * same hosts; so each may take its history from its vote on as whole. A vote is never changed: no two sets of hosts
 * can both be agreed on. Thread safety: one thread at a time.
 */
class FirstStart
{
public:
    /** This host's vote; 0 when it has none. */
    [[nodiscard]] std::uint64_t vote() const
    {
        return m_vote;
    }

    /** From now on this host neither votes nor agrees: it ran a request before it voted, or may have been paused. */
    void close()
    {
        m_isOver = true;
    }

    /** This host is about to run a non-idempotent request. */
    void noteRun()
    {
        m_isOver = m_isOver || m_vote == 0;
    }

    /** Votes for the hosts with @p digest, unless it has voted or may not. */
    void cast(TimePoint now, std::uint64_t digest)
    {
        if (!m_isOver && m_vote == 0) {
            m_vote = digest;
            m_votedAt = now;
        }
    }

    /** When this host voted, once: when @p others, the votes of all other writers, equal its own. */
    std::optional<TimePoint> agree(const std::vector<std::uint64_t> &others)
    {
        if (m_isOver || m_vote == 0) {
            return std::nullopt;
        }
        for (const std::uint64_t other : others) {
            if (other != m_vote) {
                return std::nullopt;
            }
        }
        m_isOver = true;
        return m_votedAt;
    }

private:
    std::uint64_t m_vote = 0;
    TimePoint m_votedAt {};
    bool m_isOver = false;
};

/**
 * The votes of the other writers, as @p peers last told them; nullopt unless each of @p shardCount shards is written by
 * this host or a live peer and is in its first epoch. Thread safety: reentrant.
 */
std::optional<std::vector<std::uint64_t>> firstStartVotes(std::vector<ShardClaim> ownClaims,
                                                          const std::vector<PeerView> &peers, std::uint32_t shardCount);

} // namespace currantring
