// A worker loses power, returns for a moment, and is lost for good: its tasks aren't started again.

#include "site.hh"

#include <atomic>
#include <thread>

using namespace review;

namespace {

constexpr std::int64_t withoutPowerMs = 600;
constexpr std::int64_t backMs = 600;
constexpr std::int64_t submitIntervalMs = 80;
/** Three intervals of the worker's signs of life. */
constexpr std::int64_t unlistedAfterMs = 3300;
/** finish_s, and the 3 s of the rule, twice. */
constexpr std::int64_t watchedMs = 2 * (14'000 + 3000);

nlohmann::json jobOf(int count, int millicores, int durationMs)
{
    const nlohmann::json step {
        { "count", count }, { "cpu", millicores }, { "memMb", 16 }, { "estimateMs", durationMs }
    };
    return { { "spec", "ms=" + std::to_string(durationMs) }, { "steps", nlohmann::json::array({ step }) } };
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
    const std::string watched = "00000000000000a1";
    if (!site.submit(*site.hosts[0], queue, watched, jobOf(4, 500, 10'000))) {
        leave(site, CouldNotRun, "the job wasn't accepted");
    }
    std::atomic<bool> isOver { false };
    std::thread requester([&] {
        for (unsigned long long number = 4096; !isOver; ++number) {
            char id[32];
            std::snprintf(id, sizeof(id), "%016llx", number);
            callHttp(site.hosts[number % site.hosts.size()]->front(), "POST", queue.prefix + id,
                     { { "Host", "queues.example" }, { "X-Deadline-Ms", "3000" } }, jobOf(1, 200, 300).dump(), 3500);
            sleepMs(submitIntervalMs);
        }
    });
    sleepMs(2000);
    const std::vector<SeenRun> before = site.truth.runsOf(watched + ".");
    if (before.size() != 4 || before.front().worker != site.workers[0]->options().id) {
        leave(site, CouldNotRun, "the job isn't where it was expected");
    }
    Worker &worker = *site.workers[0];
    worker.losePower();
    if (hasTrouble()) {
        sleepMs(withoutPowerMs);
        worker.begin();
        sleepMs(backMs);
        worker.losePower();
    }
    const std::int64_t goneAt = nowMs();
    sleepMs(unlistedAfterMs);
    site.store.remove("servers/" + worker.options().id);
    isOver = true;
    requester.join();
    sleepMs(watchedMs);
    std::size_t again = 0;
    for (const SeenRun &run : site.truth.runsOf(watched + ".")) {
        again += run.startedAt > goneAt ? 1 : 0;
    }
    site.record.add(std::to_string(again) + " of 4 tasks were started again in "
                    + std::to_string((nowMs() - goneAt) / 1000) + " s after the worker was lost");
    site.state(*site.hosts[0], queue, watched);
    if (again == 0) {
        leave(site, RuleBroken, "the job has had nothing running since its worker was lost for good");
    }
    leave(site, RuleHeld, "the job goes on");
}
