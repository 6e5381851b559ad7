#pragma once

#include "standintruth.h"
#include "virtualcluster.h"

#include <set>
#include <string>
#include <vector>

namespace currantring {

/** What holding an account against the truth gave. */
struct AccountVerdict
{
    /** What is wrong; empty when the two agree. */
    std::vector<std::string> problems;
    /** Recorded checkpoints that were resumed from. */
    std::size_t resumes = 0;
};

/**
 * Holds a task's account against what the workers truly ran: no attempt ran twice, each recorded checkpoint was
 * resumed once and nothing began elsewhere after it, and work was done again only where an attempt was lost.
 *
 * Thread safety: one thread at a time.
 */
class AccountCheck
{
public:
    /** @p runTime is the task's whole work, nullopt when it isn't to be counted. */
    AccountCheck(const StandinTruth &truth, TaskId task, std::vector<std::string> faults,
                 std::optional<Milliseconds> runTime);

    [[nodiscard]] AccountVerdict run(const nlohmann::json &entries) const;

private:
    void checkLost(AccountVerdict &verdict, const nlohmann::json &entries, const std::set<std::uint32_t> &lost) const;
    void checkResume(AccountVerdict &verdict, const nlohmann::json &checkpointed,
                     const std::set<std::uint32_t> &lost) const;
    void checkWork(AccountVerdict &verdict, const std::set<std::uint32_t> &lost) const;

    const StandinTruth &m_truth;
    TaskId m_task;
    std::vector<std::string> m_faults;
    std::optional<Milliseconds> m_runTime;
};

/** What is wrong with the peaks of the workers in @p cluster; empty when none was above its capacity. */
std::vector<std::string> peakProblems(VirtualCluster &cluster, const VirtualClusterOptions &options);

} // namespace currantring
