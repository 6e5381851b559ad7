// A worker crashes and starts again under its id as another kind: it gets tasks that require the former kind.

#include "site.hh"

#include <atomic>
#include <thread>

using namespace review;

namespace {

constexpr std::int64_t downMs = 3000;
constexpr std::int64_t submitIntervalMs = 60;

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
    const nlohmann::json step {
        { "count", 2 }, { "cpu", 3000 }, { "memMb", 64 }, { "estimateMs", 600 }, { "requirements", "a" }
    };
    const nlohmann::json job { { "spec", "ms=600" }, { "steps", { step } } };
    std::atomic<bool> isOver { false };
    std::thread requester([&] {
        for (std::uint64_t number = 1; !isOver; ++number) {
            char id[32];
            std::snprintf(id, sizeof(id), "%016llx", static_cast<unsigned long long>(number));
            callHttp(site.hosts[number % site.hosts.size()]->front(), "POST", queue.prefix + id,
                     { { "Host", "queues.example" }, { "X-Deadline-Ms", "3000" } }, job.dump(), 3500);
            sleepMs(submitIntervalMs);
        }
    });
    sleepMs(3000);
    Worker &worker = *site.workers[0];
    worker.crash();
    sleepMs(downMs);
    if (hasTrouble()) {
        WorkerOptions other = worker.options();
        other.kind = "b";
        worker.setOptions(other);
    }
    worker.begin();
    sleepMs(6000);
    isOver = true;
    requester.join();
    std::size_t wrong = 0;
    for (const SeenRun &run : site.truth.runs()) {
        if (run.kind != "a") {
            ++wrong;
            site.record.add("started on kind " + run.kind + " though the step requires a: " + run.task + " at "
                            + std::to_string(run.startedAt) + " ms");
        }
    }
    const std::size_t count = site.truth.runs().size();
    if (count < 50) {
        leave(site, CouldNotRun, "too few tasks have run: " + std::to_string(count));
    }
    if (wrong > 0) {
        leave(site, RuleBroken,
              std::to_string(wrong) + " of " + std::to_string(count)
                  + " starts were on a worker without the required label");
    }
    leave(site, RuleHeld, "all " + std::to_string(count) + " starts were on workers with the required label");
}
