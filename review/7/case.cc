#include "../standin-2/scene.hh"

using namespace review2;

namespace {

/** A minion is cut off for a second while it runs tasks of a repeated job of which copies may run; in rounds. */
int waitingCopy(Scene &scene)
{
    constexpr int rounds = 10;
    constexpr int endsOfOneHost = 3;
    constexpr std::size_t hostsOfFault = 2;
    constexpr std::int64_t cutMs = 1000;
    // The repeated jobs have odd numbers, the urgent ones even numbers.
    const auto workMs = [](const std::string &task) -> std::int64_t {
        return (task[15] - '0') % 2 != 0 ? 3000 : 2500;
    };
    for (int number = 1; number <= 6; ++number) {
        scene.addMinion("i-minion-" + std::to_string(number), workMs);
    }
    json nightly = route("r-nightly", "/nightly/", service);
    nightly["priority"] = 2;
    scene.configure(7, json::array({ nightly, route("r-urgent", "/urgent/", service) }));
    scene.deployment.startAll();
    if (!scene.deployment.awaitReady(15'000)) {
        return unableTo(scene, "the hosts aren't ready");
    }
    Watchdog watchdog(scene.deployment);
    watchdog.watch(2000);
    json copied = step(2, 32'000, 16'000, 3000);
    copied["speculative"] = true;
    json repeated = jobOf("each hour", { copied });
    repeated["repetitions"] = 120;
    repeated["intervalMs"] = 3'600'000;
    for (int round = 0; round < rounds && watchdog.hostsWith(endsOfOneHost) < hostsOfFault; ++round) {
        const std::string night = jobId(0x10 * round + 1);
        const std::string urgent = jobId(0x10 * round + 2);
        repeated["startAtMs"] = wallMs();
        if (!scene.requester.submit("/nightly/" + night, repeated)) {
            return unableTo(scene, "a repeated job wasn't accepted");
        }
        watchdog.watch(300);
        if (!scene.requester.submit("/urgent/" + urgent, jobOf("urgent", { step(26, 32'000, 16'000, 2500) }))) {
            return unableTo(scene, "an urgent job wasn't accepted");
        }
        watchdog.watch(300);
        if (scene.trouble) {
            const std::vector<Run> runs = scene.truth.runs();
            const auto first =
                std::ranges::find_if(runs, [&night](const Run &run) { return run.task.starts_with(night); });
            if (first == runs.end()) {
                return unableTo(scene, "a repeated job doesn't start");
            }
            Minion &cut = **std::ranges::find_if(
                scene.minions, [&first](const auto &minion) { return minion->options().id == first->minion; });
            cut.setCut(true);
            watchdog.watch(cutMs);
            cut.setCut(false);
        }
        // Until the urgent job is done, and the next writer has taken over if there is one.
        watchdog.watch(scene.trouble ? 7500 : 4000);
    }
    return verdict(scene, watchdog.hostsWith(endsOfOneHost) >= hostsOfFault,
                   "processes ended by themselves " + std::to_string(watchdog.total())
                       + " times, at least three times on " + std::to_string(watchdog.hostsWith(endsOfOneHost))
                       + " of 3 machines (Fault)");
}

} // namespace

int main(int argc, char **argv)
{
    runCase(argc, argv, waitingCopy);
}
