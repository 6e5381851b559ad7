#pragma once

#include "evacuationlist.h"
#include "inheritedleases.h"
#include "prefixwatch.h"
#include "siteformats.h"
#include "workerlink.h"

#include <functional>
#include <map>
#include <memory>

namespace currantring {

/**
 * The links to all workers in the platform's list.
 *
 * A worker that disappears from the list gets no new work after a grace period; its link is kept while runs may still
 * be active there. Thread safety: one thread at a time.
 */
class WorkerFleet
{
public:
    struct Handlers
    {
        std::function<void(WorkerLink &link)> onAdded;
        /** The list was read for the first time. */
        std::function<void()> onListed;
        /** A worker's entry changed or was removed. */
        std::function<void(WorkerLink &link)> onChanged;
        std::function<WorkerLink::Handlers(const WorkerId &worker)> linkHandlers;
    };

    /** Precondition: @p evacuations and @p context outlive the object. */
    WorkerFleet(WriterToken token, WorkerTiming timing, InheritedLeases inherited, SiteFormats formats,
                const EvacuationList &evacuations, JobContext &context, Handlers handlers);

    void start();
    /** Creates a link to a worker that is known from the log only, to track the runs recorded there. */
    WorkerLink &expect(const WorkerId &worker, WorkerLife life);
    /** Lowers the bounds on the leases that previous writers may have granted. */
    void limitInherited(TimePoint until);
    /** How long leases may be valid that were granted up to now. */
    [[nodiscard]] RemainingLeases remainingLeases() const;
    /** Number of workers in the list, and how many of them answer. */
    [[nodiscard]] std::size_t listedCount() const;
    [[nodiscard]] std::size_t reachableCount() const;
    /** Null when unknown. */
    [[nodiscard]] WorkerLink *find(const WorkerId &worker);
    [[nodiscard]] const std::map<WorkerId, std::unique_ptr<WorkerLink>> &links() const;
    /** Whether the list has been read at least once. */
    [[nodiscard]] bool isListed() const;
    /** Whether new runs may be placed on the worker. */
    [[nodiscard]] bool isSchedulable(const WorkerLink &link) const;

private:
    void applyEntry(const KvEntry &entry);
    WorkerLink &add(WorkerEntry entry);
    void removeGoneWorkers();

    WriterToken m_token;
    WorkerTiming m_timing;
    InheritedLeases m_inherited;
    SiteFormats m_formats;
    const EvacuationList &m_evacuations;
    JobContext &m_context;
    Handlers m_handlers;
    Lifetime m_lifetime;
    PrefixWatch m_watch;
    std::map<WorkerId, std::unique_ptr<WorkerLink>> m_links;
};

} // namespace currantring
