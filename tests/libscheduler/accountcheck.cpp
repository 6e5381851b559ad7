#include "accountcheck.h"

#include <algorithm>
#include <array>

namespace currantring {

namespace {

constexpr std::uint32_t connectionLimit = 64;

/**
 * Sets of faults that may cost an attempt: they keep a worker unheard, or its leases unextended, past the lease. A
 * shard without a writer that reaches both the store and its peers can't extend leases during an outage.
 */
const std::vector<std::vector<std::string>> &costlyFaults()
{
    static const std::vector<std::vector<std::string>> sets {
        { "worker frozen" },
        { "writer paused" },
        { "writer cut from store" },
        { "writer cut from worker" },
        { "others cut from workers" },
        { "writer's side cut off" },
        { "store outage", "writer killed" },
        { "store outage", "writer cut from peers" },
    };
    return sets;
}

bool mayCostAttempt(const std::vector<std::string> &faults)
{
    return std::ranges::any_of(costlyFaults(), [&](const std::vector<std::string> &set) {
        return std::ranges::all_of(set, [&](const std::string &name) { return std::ranges::count(faults, name) > 0; });
    });
}

/** Records of ended attempts with the given end. */
std::vector<nlohmann::json> attemptEnds(const nlohmann::json &entries, const std::string &end)
{
    std::vector<nlohmann::json> records;
    for (const nlohmann::json &entry : entries) {
        const nlohmann::json &record = entry.at("record");
        if (record.at("kind") == "attempt-ended" && record.at("end") == end) {
            records.push_back(record);
        }
    }
    return records;
}

} // namespace

AccountCheck::AccountCheck(const StandinTruth &truth, TaskId task, std::vector<std::string> faults,
                           std::optional<Milliseconds> runTime)
    : m_truth(truth)
    , m_task(std::move(task))
    , m_faults(std::move(faults))
    , m_runTime(runTime)
{
}

AccountVerdict AccountCheck::run(const nlohmann::json &entries) const
{
    AccountVerdict verdict;
    std::map<std::uint32_t, int> runsOf;
    for (const StandinRun &run : m_truth.runs()) {
        if (run.key.task == m_task && ++runsOf[run.key.attempt.value()] > 1) {
            verdict.problems.push_back("attempt " + std::to_string(run.key.attempt.value()) + " ran twice");
        }
    }
    std::set<std::uint32_t> lost;
    for (const nlohmann::json &record : attemptEnds(entries, "lost")) {
        lost.insert(record.at("attempt").get<std::uint32_t>());
    }
    checkLost(verdict, entries, lost);
    for (const nlohmann::json &record : attemptEnds(entries, "checkpointed")) {
        checkResume(verdict, record, lost);
    }
    checkWork(verdict, lost);
    return verdict;
}

void AccountCheck::checkLost(AccountVerdict &verdict, const nlohmann::json &entries,
                             const std::set<std::uint32_t> &lost) const
{
    if (!lost.empty() && !mayCostAttempt(m_faults)) {
        verdict.problems.push_back("an attempt was lost under faults that cost none: " + entries.dump());
    }
}

/** Each later run goes on from the checkpoint, and all but one of them are recorded as lost. */
void AccountCheck::checkResume(AccountVerdict &verdict, const nlohmann::json &checkpointed,
                               const std::set<std::uint32_t> &lost) const
{
    const auto checkpoint = checkpointed.at("checkpoint").get<std::string>();
    std::size_t resumed = 0;
    for (const StandinRun &run : m_truth.runs()) {
        const std::uint32_t attempt = run.key.attempt.value();
        if (run.key.task != m_task || attempt <= checkpointed.at("attempt").get<std::uint32_t>()) {
            continue;
        }
        if (run.resumedFrom.value() != checkpoint) {
            verdict.problems.push_back("attempt " + std::to_string(attempt) + " began at '" + run.resumedFrom.value()
                                       + "' in place of '" + checkpoint + "'");
        }
        resumed += lost.contains(attempt) ? 0 : 1;
    }
    verdict.resumes += resumed;
    if (resumed != 1) {
        verdict.problems.push_back("checkpoint " + checkpoint + " was resumed " + std::to_string(resumed) + " times");
    }
}

void AccountCheck::checkWork(AccountVerdict &verdict, const std::set<std::uint32_t> &lost) const
{
    std::int64_t done = 0;
    for (const StandinRun &run : m_truth.runs()) {
        if (run.key.task == m_task && !lost.contains(run.key.attempt.value())) {
            done += run.progress - m_truth.checkpointProgress(run.resumedFrom).value_or(0);
        }
    }
    if (m_runTime && done != m_runTime->count()) {
        verdict.problems.push_back("work of " + std::to_string(done) + " steps was done in attempts that weren't lost, "
                                   + "in place of " + std::to_string(m_runTime->count()));
    }
}

std::vector<std::string> peakProblems(VirtualCluster &cluster, const VirtualClusterOptions &options)
{
    std::vector<std::string> problems;
    for (const auto &[worker, peak] : cluster.platform().truth().peaks()) {
        if (!options.capacity.covers(peak.declared) || peak.requests > options.slots
            || peak.connections > connectionLimit) {
            problems.push_back("worker " + worker.value() + " had more than its capacity: "
                               + nlohmann::json(peak.declared).dump() + ", requests " + std::to_string(peak.requests));
        }
    }
    return problems;
}

} // namespace currantring
