// One worker fails all that it starts: the members of a gang fail there in one run, and each counts as a failure of the
// gang.

#include "site.hh"

using namespace review;

int main(int, char **argv)
{
    Site site(argv[1]);
    const std::string service = "desk";
    const Queue queue { "r-jobs", "/jobs/", service, 4 };
    for (int number = 1; number <= 12; ++number) {
        site.addWorker({ "i-" + std::to_string(number), service });
    }
    site.configure(7, { queue }, { service });
    if (!site.startHosts()) {
        leave(site, CouldNotRun, "the hosts aren't ready");
    }
    const nlohmann::json step {
        { "count", 4 }, { "cpu", 500 }, { "memMb", 64 }, { "estimateMs", 1500 }, { "gang", true }
    };
    const nlohmann::json job { { "spec", "ms=1500" }, { "steps", { step } } };
    // The first gang shows where the next one will be placed.
    const std::string probe = "00000000000000a1";
    if (!site.submit(*site.hosts[0], queue, probe, job) || !site.waitUntil(8000, [&] {
            sleepMs(500);
            return site.state(*site.hosts[0], queue, probe).second == "completed";
        })) {
        leave(site, CouldNotRun, "a gang on sound workers isn't done");
    }
    const std::string place = site.truth.runsOf(probe + ".").front().worker;
    const auto setFailing = [&](bool isFailing) {
        for (const auto &worker : site.workers) {
            if (worker->options().id == place) {
                worker->setFailing(isFailing);
            }
        }
    };
    if (hasTrouble()) {
        site.record.add("worker " + place + " fails all that it starts for 5.5 s");
        setFailing(true);
    }
    const std::string id = "00000000000000b1";
    if (!site.submit(*site.hosts[0], queue, id, job)) {
        leave(site, CouldNotRun, "the job wasn't accepted");
    }
    sleepMs(5500);
    setFailing(false);
    site.record.add("all workers are sound again");
    const auto phase = [&] {
        return site.state(*site.hosts[0], queue, id).second;
    };
    site.waitUntil(14'000, [&] {
        const std::string now = phase();
        sleepMs(500);
        return now == "completed" || now == "failed";
    });
    // All members of one start of a gang have the same number.
    std::map<std::uint32_t, int> failures;
    for (const SeenRun &run : site.truth.runsOf(id + ".")) {
        failures[run.number] += run.how == "failed" ? 1 : 0;
    }
    std::size_t failed = 0;
    for (const auto &[number, ends] : failures) {
        site.record.add("run " + std::to_string(number) + " of the gang: " + std::to_string(ends) + " ends `failed`");
        failed += ends > 0 ? 1 : 0;
    }
    const std::string last = phase();
    if (last == "failed" && failed < queue.attempts) {
        leave(site, RuleBroken,
              "the job is shown as failed after " + std::to_string(failed) + " failure of its gang, with "
                  + std::to_string(queue.attempts) + " attempts");
    }
    if (last != "completed" && last != "failed") {
        leave(site, CouldNotRun, "the job is " + last);
    }
    leave(site, RuleHeld, "the job is " + last + " after " + std::to_string(failed) + " failures of its gang");
}
