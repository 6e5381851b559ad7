// A timed job with many occurrences that are due together ends each process that becomes the writer, and goes on to.

#include "site.hh"

#include <algorithm>
#include <map>

using namespace review;

namespace {

/** Within the limit that the program itself sets for accepted jobs. */
constexpr int manyRepetitions = 100'000;
constexpr int fewRepetitions = 10;
constexpr std::int64_t restartDelayMs = 1000;
constexpr std::int64_t watchedMs = 40'000;
/** finish_s, and the 3 s of the rule. */
constexpr std::int64_t finishMs = 14'000 + 3000;
constexpr int endsOfAFault = 3;

/** Starts each host again a little after its process has ended, as the platform does, and counts these ends. */
std::map<std::string, int> superviseHosts(Site &site)
{
    std::map<std::string, int> ends;
    std::map<std::string, std::int64_t> endedAt;
    const std::int64_t until = nowMs() + watchedMs;
    while (nowMs() < until) {
        for (const auto &host : site.hosts) {
            const bool isKnown = endedAt.contains(host->name());
            if (!host->isRunning() && !isKnown) {
                ++ends[host->name()];
                endedAt[host->name()] = nowMs();
            } else if (isKnown && nowMs() - endedAt[host->name()] >= restartDelayMs) {
                endedAt.erase(host->name());
                host->start();
            }
        }
        sleepMs(10);
    }
    return ends;
}

} // namespace

int main(int, char **argv)
{
    Site site(argv[1]);
    const std::string service = "desk";
    const Queue queue { "r-jobs", "/jobs/", service };
    for (int number = 1; number <= 4; ++number) {
        site.addWorker({ "i-" + std::to_string(number), service });
    }
    site.configure(7, { queue }, { service });
    if (!site.startHosts()) {
        leave(site, CouldNotRun, "the hosts aren't ready");
    }
    // Another owner's job of two steps, accepted before.
    const nlohmann::json step { { "count", 2 }, { "cpu", 500 }, { "memMb", 64 }, { "estimateMs", 6000 } };
    nlohmann::json second = step;
    second["after"] = { 0 };
    const std::string other = "00000000000000a1";
    if (!site.submit(*site.hosts[0], queue, other, { { "spec", "ms=6000" }, { "steps", { step, second } } })) {
        leave(site, CouldNotRun, "the other job wasn't accepted");
    }
    // No `intervalMs`: all occurrences are due at once, and may overlap.
    const nlohmann::json small { { "count", 1 }, { "cpu", 100 }, { "memMb", 16 }, { "estimateMs", 100 } };
    const nlohmann::json timed { { "spec", "ms=100" },
                                 { "steps", { small } },
                                 { "repetitions", hasTrouble() ? manyRepetitions : fewRepetitions },
                                 { "startAtMs", wallMs() + 2000 } };
    const HttpReply reply = callHttp(site.hosts[1]->front(), "POST", queue.prefix + "00000000000000b1",
                                     { { "Host", "queues.example" }, { "X-Deadline-Ms", "3000" } }, timed.dump(), 3500);
    site.record.add("POST of the timed job: " + std::to_string(reply.status));
    const std::map<std::string, int> ends = superviseHosts(site);
    std::int64_t turnAt = -1;
    std::size_t doneFirst = 0;
    for (const SeenRun &run : site.truth.runsOf(other + ".0.0.")) {
        doneFirst += run.how == "done" ? 1 : 0;
        turnAt = std::max(turnAt, run.endedAt);
    }
    const std::size_t startedSecond = site.truth.runsOf(other + ".0.1.").size();
    site.record.add("the other job: " + std::to_string(doneFirst) + " of 2 tasks of the first step done by "
                    + std::to_string(turnAt) + " ms, " + std::to_string(startedSecond) + " starts of the second step");
    for (const auto &host : site.hosts) {
        site.state(*host, queue, other);
    }
    int hit = 0;
    for (const auto &[host, count] : ends) {
        site.record.add("the process of " + host + " ended by itself " + std::to_string(count) + " times");
        hit += count >= endsOfAFault ? 1 : 0;
    }
    if (doneFirst == 2 && startedSecond == 0 && nowMs() - turnAt > finishMs) {
        leave(site, RuleBroken,
              "the other job has had nothing running for 17 s while the turn of two tasks has come; "
                  + std::to_string(hit) + " hosts ended by themselves three times or more");
    }
    if (hit >= 2) {
        leave(site, RuleBroken, std::to_string(hit) + " hosts ended by themselves three times or more");
    }
    if (startedSecond == 0) {
        leave(site, CouldNotRun, "the other job doesn't go on, though the processes hold");
    }
    leave(site, RuleHeld, "the processes hold, and the other job goes on");
}
