#pragma once

#include "callercall.h"
#include "rundirector.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace currantring {

/**
 * Writes one shard: takes callers' calls for its jobs and has their tasks run, from a claim until the shard is lost.
 *
 * Thread safety: one thread at a time.
 */
class JobWriter
{
public:
    using Answer = std::function<void(const CallAnswer &answer)>;
    struct Handlers
    {
        std::function<std::shared_ptr<const SiteConfiguration>()> configuration;
        /** Another host has the shard; the owner drops the object later than in this call. */
        std::function<void()> onLost;
    };

    /** Precondition: @p context outlives the object. */
    JobWriter(StoreLayout layout, RunDirector::Options options, std::uint64_t nonce, SiteFormats formats,
              JobContext &context, Handlers handlers);

    /** Loads the log and begins to act. */
    void begin();
    /** Acts on @p call; @p then runs once, unless the shard is lost first. Calls before the log is loaded wait. */
    void handle(const CallerCall &call, Answer then);
    void reconsider();
    /** Records what is under way and stops; @p then runs when that is done. */
    void finish(std::function<void()> then);
    [[nodiscard]] bool isActive() const;
    /** How long the store hasn't answered a commit. */
    [[nodiscard]] Milliseconds commitAge() const;

private:
    void activate();
    void submit(const SubmitJob &call, Answer then);
    void read(const ReadJob &call, const Answer &then);
    void cancel(const CancelJob &call, Answer then);
    void count(const CountWaiting &call, const Answer &then);
    bool refuseWhileStuck(const CallerCall &call, const Answer &then);
    void answerUnknown(const Answer &then);
    void lose();
    void keepConfirmed();

    JobContext &m_context;
    Handlers m_handlers;
    Lifetime m_lifetime;
    RunDirector::Options m_options;
    SiteFormats m_formats;
    JobLog m_log;
    std::unique_ptr<RunDirector> m_director;
    std::vector<std::pair<CallerCall, Answer>> m_waiting;
    /** Callers who wait until the acceptance of a job is on record. */
    std::map<JobId, std::vector<Answer>> m_accepting;
    std::map<JobId, std::vector<Answer>> m_cancelling;
    bool m_isLost = false;
    bool m_isFinishing = false;
};

} // namespace currantring
