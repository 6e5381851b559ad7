#pragma once

#include "virtualsite.h"

#include <map>

namespace currantring {

/**
 * Callers who submit jobs, repeat themselves until they are sure, and ask now and then how their jobs are.
 *
 * Thread safety: one thread at a time.
 */
class VirtualCustomers
{
public:
    /** Precondition: @p site outlives the object. */
    VirtualCustomers(VirtualSite &site, std::uint64_t seed);

    /** Submits @p spec after @p delay. */
    void submit(const JobSpec &spec, Milliseconds delay);
    /** Cancels a job after @p delay, and again until it is sure. */
    void cancel(const JobId &job, Milliseconds delay);
    /** Runs until all accepted jobs that can end are over, or @p limit has passed; then lets the judge check them. */
    void finish(Milliseconds limit);
    /** A mixture of batch, urgent, lasting, failing and cancelled jobs over @p duration. */
    void submitMixture(std::uint64_t jobs, Milliseconds duration);
    /** Gangs, steps that may run copies, steps that need admission, and jobs that repeat. */
    void submitRareKinds(std::uint64_t jobs, Milliseconds duration);

private:
    void trySubmit(const std::shared_ptr<const JobSpec> &spec, TimePoint until);
    void tryCancel(const JobId &job, TimePoint until);
    void watch(const JobId &job);
    [[nodiscard]] HostId anyHost();
    [[nodiscard]] bool isOver(const JobId &job) const;

    VirtualSite &m_site;
    Random m_random;
    std::vector<std::shared_ptr<const JobSpec>> m_jobs;
    std::map<JobId, JobPhase> m_shown;
};

} // namespace currantring
