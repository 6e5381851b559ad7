#pragma once

#include "prefixwatch.h"
#include "siteformats.h"
#include "workerlink.h"

#include <functional>
#include <map>
#include <memory>

namespace currantring {

/**
 * The links to all workers, as the platform's list names them.
 *
 * A worker that isn't listed any more takes no new work after a short time; its link stays while anything may run
 * there. Thread safety: one thread at a time.
 */
class WorkerFleet
{
public:
    struct Handlers
    {
        std::function<void(WorkerLink &link)> onAdded;
        /** The list has been read once. */
        std::function<void()> onListed;
        /** A worker's entry has changed. */
        std::function<void(WorkerLink &link)> onChanged;
        std::function<WorkerLink::Handlers(const WorkerId &worker)> linkHandlers;
    };

    /** Precondition: @p context outlives the object. */
    WorkerFleet(WriterToken token, WorkerTiming timing, TimePoint inheritedUntil, SiteFormats formats,
                JobContext &context, Handlers handlers);

    void start();
    /** Makes a link to a worker that only the log knows, so that its runs have a place. */
    WorkerLink &expect(const WorkerId &worker, WorkerLife life);
    /** Null when unknown. */
    [[nodiscard]] WorkerLink *find(const WorkerId &worker);
    [[nodiscard]] const std::map<WorkerId, std::unique_ptr<WorkerLink>> &links() const;
    /** Whether the list has been read once. */
    [[nodiscard]] bool isListed() const;
    /** Whether the worker may be given new work. */
    [[nodiscard]] bool takesWork(const WorkerLink &link) const;

private:
    void take(const KvEntry &entry);
    WorkerLink &add(WorkerEntry entry);
    void sweep();

    WriterToken m_token;
    WorkerTiming m_timing;
    TimePoint m_inheritedUntil;
    SiteFormats m_formats;
    JobContext &m_context;
    Handlers m_handlers;
    Lifetime m_lifetime;
    PrefixWatch m_watch;
    std::map<WorkerId, std::unique_ptr<WorkerLink>> m_links;
};

} // namespace currantring
