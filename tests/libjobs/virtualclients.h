#pragma once

#include "virtualsite.h"

#include <map>

namespace currantring {

/**
 * Simulated clients, which submit and cancel jobs, retry until a call is accepted, and poll the phases of their jobs
 * and the number of waiting jobs.
 *
 * Thread safety: one thread at a time.
 */
class VirtualClients
{
public:
    /** Precondition: @p site outlives the object. */
    VirtualClients(VirtualSite &site, std::uint64_t seed);

    /** Submits @p spec after @p delay. */
    void submit(const JobSpec &spec, Milliseconds delay);
    /** Cancels a job after @p delay, and repeats the call until it is accepted or the retry timeout is over. */
    void cancel(const JobId &job, Milliseconds delay);
    /**
     * Runs until all accepted jobs have ended, apart from lasting ones, and these have been checked after the last
     * disturbance, or @p limit has passed; then checks all of them with InvariantChecker.
     */
    void finish(Milliseconds limit);
    /** Submits a random mix of batch, urgent, lasting, filler, failing and cancelled jobs over @p duration. */
    void submitMixedJobs(std::uint64_t jobs, Milliseconds duration);
    /** Submits gangs, jobs with copies of tasks, jobs that need admission and scheduled jobs over @p duration. */
    void submitSpecialJobs(std::uint64_t jobs, Milliseconds duration);

private:
    void trySubmit(const std::shared_ptr<const JobSpec> &spec, TimePoint until);
    void tryCancel(const JobId &job, TimePoint until);
    void pollPhase(const JobId &job);
    void pollCounts();
    void checkLasting();
    [[nodiscard]] HostId randomHost();
    [[nodiscard]] bool isFinished(const JobId &job) const;

    VirtualSite &m_site;
    Random m_random;
    std::vector<std::shared_ptr<const JobSpec>> m_jobs;
    std::map<JobId, JobPhase> m_lastPhases;
    bool m_isFinishing = false;
};

} // namespace currantring
