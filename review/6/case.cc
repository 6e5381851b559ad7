#include "../standin-2/scene.hh"

using namespace review2;

namespace {

/** The store is down while many small tasks of one minion end. */
int manyEnds(Scene &scene)
{
    constexpr int jobs = 36;
    constexpr int width = 32;
    constexpr std::int64_t outageMs = 4500;
    constexpr std::int64_t spreadMs = 4200;
    constexpr std::int64_t finishMs = 14'000;
    constexpr std::int64_t againMs = 3000;
    std::atomic<std::int64_t> firstEnd { 1'000'000 };
    // The tasks end evenly over the time of the outage, with and without it.
    const auto workMs = [&](const std::string &task) {
        const auto place = static_cast<std::int64_t>(std::hash<std::string>()(task) % spreadMs);
        return std::max<std::int64_t>(firstEnd + place - scene.record.now(), againMs);
    };
    Minion &minion = scene.addMinion("i-minion-1", workMs);
    scene.addMinion("i-minion-2", workMs, "a", "r1-2");
    scene.configure(7, json::array({ route("r-separations", "/separations/", service) }));
    scene.deployment.startAll();
    if (!scene.deployment.awaitReady(15'000)) {
        return unableTo(scene, "the hosts aren't ready");
    }
    sleepMs(2000);
    firstEnd = scene.record.now() + 7500;
    for (int number = 0; number < jobs; ++number) {
        const json job = jobOf("separation " + std::to_string(number), { step(width, 50, 64, 5000) });
        if (!scene.requester.submit("/separations/" + jobId(number), job)) {
            return unableTo(scene, "a job wasn't accepted");
        }
        sleepMs(50);
    }
    const std::size_t tasks = jobs * width;
    if (!Scene::until(firstEnd - scene.record.now(), [&] { return minion.runningCount() == tasks; })) {
        return unableTo(scene, "only " + std::to_string(minion.runningCount()) + " tasks run on the first minion");
    }
    sleepMs(std::max<std::int64_t>(firstEnd - scene.record.now(), 0));
    if (scene.trouble) {
        // Twice contactMs after the outage, no disturbance is near.
        scene.truth.calmFrom = scene.record.now() + outageMs + 6000;
        scene.store.setDown(true);
    }
    std::size_t most = 0;
    const std::int64_t end = steadyMs() + outageMs;
    while (steadyMs() < end) {
        most = std::max(most, minion.unseenEnds());
        sleepMs(20);
    }
    if (scene.trouble) {
        scene.store.setDown(false);
    }
    scene.record.line("most ends that the first minion listed or held back: %zu", most);
    sleepMs(2000);
    if (!scene.requester.submit("/separations/" + jobId(jobs), jobOf("later", { step(8, 50, 64, 300) }))) {
        return unableTo(scene, "the later job wasn't accepted");
    }
    sleepMs(finishMs + 6000);
    int unfinished = 0;
    for (int number = 0; number <= jobs; ++number) {
        scene.requester.attempt(static_cast<std::size_t>(number) % 3, "GET", "/separations/" + jobId(number));
        unfinished += scene.requester.body().find("completed") == std::string::npos ? 1 : 0;
    }
    const std::size_t runs = scene.count([](const Run &run) { return run.how == "done"; });
    const std::size_t twice = runTwice(scene);
    return verdict(scene, twice > 0,
                   std::to_string(twice) + " of " + std::to_string(tasks)
                       + " tasks were started again after a run that had ended done (TWICE); "
                       + std::to_string(unfinished) + " of " + std::to_string(jobs + 1)
                       + " jobs aren't completed 20 s after the store is back, with " + std::to_string(runs)
                       + " runs ended done");
}

} // namespace

int main(int argc, char **argv)
{
    runCase(argc, argv, manyEnds);
}
