// A worker loses power for a moment and is cut off soon after its return: it runs tasks on that are started elsewhere.

#include "site.hh"

#include <atomic>
#include <thread>

using namespace review;

namespace {

constexpr std::int64_t withoutPowerMs = 600;
/** A worker that has just started is slow to answer. */
constexpr std::int64_t coldAnswerMs = 500;
constexpr std::int64_t reachedMs = 350;
constexpr std::int64_t cutOffMs = 5500;
constexpr std::int64_t submitIntervalMs = 100;
constexpr int taskMs = 8000;

/** Pairs of runs of one task that were at work at the same time. */
int countOverlaps(Site &site)
{
    int count = 0;
    const std::vector<SeenRun> runs = site.truth.runs();
    for (const SeenRun &first : runs) {
        for (const SeenRun &second : runs) {
            const bool isLater = first.task == second.task && first.startedAt < second.startedAt;
            if (isLater && (first.endedAt < 0 || first.endedAt > second.startedAt)) {
                ++count;
                site.record.add("two runs at the same time: " + first.task + " run " + std::to_string(first.number)
                                + " on " + first.worker + " from " + std::to_string(first.startedAt) + " to "
                                + std::to_string(first.endedAt) + " ms, run " + std::to_string(second.number) + " on "
                                + second.worker + " from " + std::to_string(second.startedAt) + " ms");
            }
        }
    }
    return count;
}

} // namespace

int main(int, char **argv)
{
    Site site(argv[1]);
    const std::string service = "desk";
    const Queue queue { "r-jobs", "/jobs/", service };
    for (int number = 1; number <= 8; ++number) {
        site.addWorker({ "i-" + std::to_string(number), service });
    }
    site.configure(7, { queue }, { service });
    if (!site.startHosts()) {
        leave(site, CouldNotRun, "the hosts aren't ready");
    }
    const nlohmann::json step { { "count", 1 }, { "cpu", 100 }, { "memMb", 16 }, { "estimateMs", taskMs } };
    const nlohmann::json job { { "spec", "ms=" + std::to_string(taskMs) },
                               { "steps", nlohmann::json::array({ step }) } };
    std::atomic<bool> isOver { false };
    std::thread requester([&] {
        for (unsigned long long number = 1; !isOver; ++number) {
            char id[32];
            std::snprintf(id, sizeof(id), "%016llx", number);
            callHttp(site.hosts[number % site.hosts.size()]->front(), "POST", queue.prefix + id,
                     { { "Host", "queues.example" }, { "X-Deadline-Ms", "3000" } }, job.dump(), 3500);
            sleepMs(submitIntervalMs);
        }
    });
    sleepMs(3000);
    // The host packs tasks, so that most of them run here.
    Worker &worker = *site.workers[0];
    if (hasTrouble()) {
        worker.losePower();
        sleepMs(withoutPowerMs);
        worker.setAnswerDelay(coldAnswerMs);
        worker.begin();
        sleepMs(reachedMs);
        worker.setCutOff(true);
        worker.setAnswerDelay(0);
        sleepMs(cutOffMs);
        worker.setCutOff(false);
    } else {
        sleepMs(withoutPowerMs + reachedMs + cutOffMs);
    }
    isOver = true;
    requester.join();
    sleepMs(taskMs + 4000);
    const int overlaps = countOverlaps(site);
    const std::size_t count = site.truth.runs().size();
    if (count < 50) {
        leave(site, CouldNotRun, "too few tasks have run: " + std::to_string(count));
    }
    if (overlaps > 0) {
        leave(site, RuleBroken,
              std::to_string(overlaps) + " tasks had two runs at the same time, of " + std::to_string(count) + " runs");
    }
    leave(site, RuleHeld, "no task had two runs at the same time, of " + std::to_string(count) + " runs");
}
