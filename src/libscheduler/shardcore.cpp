#include "shardcore.h"

namespace currantring {

namespace {

/** Reports that a worker may leave unanswered before no new work goes to it. */
constexpr int missedReports = 3;

} // namespace

bool ShardCore::isUsable(const WorkerView &worker) const
{
    const Milliseconds bound = missedReports * configuration.duration(Setting::ReportInterval);
    const bool isHeard = worker.knowsEpoch && context.now() - worker.lastAnswer <= bound;
    const bool stays = worker.listed && !worker.saysLeaving && worker.info.state == WorkerState::Live;
    return isHeard && stays && worker.avoidUntil <= context.now();
}

Resources ShardCore::freeOn(const WorkerView &worker) const
{
    return worker.info.capacity - log.ledger().reserved(worker.info.id);
}

WorkerTime ShardCore::estimatedClock(const WorkerView &worker, TimePoint at) const
{
    return WorkerTime(worker.clock->value() + (at - worker.clockReadAt).count());
}

WorkerTime ShardCore::leaseUntil(const WorkerView &worker) const
{
    // A lease counts from the moment at which this host was surely the writer, so that a writer that is paused
    // here can't extend it past what its successor waits for.
    const bool isOutage = !log.storeAnswers() && outageRenewals
        && context.now() - log.lastConfirmed() < configuration.duration(Setting::OutageTerm);
    const TimePoint base = isOutage ? context.now() : log.lastConfirmed();
    return WorkerTime(estimatedClock(worker, base).value() + configuration.duration(Setting::TaskLease).count());
}

} // namespace currantring
