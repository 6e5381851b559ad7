// Plays one case of the review: FOLDER CASE. TROUBLE=0 leaves the disruption out. Ends with 1 if the rule was broken, 0
// if it held, 2 if the case couldn't run.

#include "deployment.hh"

#include <sys/utsname.h>

using namespace review;

namespace {

constexpr int held = 0;
constexpr int broken = 1;
constexpr int unable = 2;
const std::string service = "order-desk";

struct Scene
{
    Scene(const std::string &folder, bool hasTrouble)
        : record(folder + "/record.txt")
        , temporary(makeTemporary())
        , store(record)
        , deployment(record, store, temporary)
        , requester(record, deployment)
        , trouble(hasTrouble)
    {
        utsname machine {};
        ::uname(&machine);
        record.line("TROUBLE=%d, on %s", trouble ? 1 : 0, machine.machine);
        store.listen(deployment.ip(3));
        deployment.addHosts(3);
    }

    static std::string makeTemporary()
    {
        std::string path = std::filesystem::temp_directory_path() / "currantring-review-XXXXXX";
        if (::mkdtemp(path.data()) == nullptr) {
            throw std::runtime_error("no temporary folder");
        }
        return path;
    }

    void configure(int version, const json &routes)
    {
        store.put("op/config", configuration(version, routes, service).dump());
        record.line("operator: configuration %d with %zu routes is acknowledged", version, routes.size());
    }

    Minion &addMinion(const std::string &id, std::function<std::int64_t(const std::string &)> workMs,
                      const std::string &kind = "a", const std::string &rack = "r1-1", bool needsTicket = false)
    {
        MinionOptions options;
        options.id = id;
        options.service = service;
        options.kind = kind;
        options.rack = rack;
        options.workMs = std::move(workMs);
        options.needsTicket = needsTicket;
        minions.push_back(std::make_unique<Minion>(options, store, truth, record));
        minions.back()->start(deployment.ip(100 + static_cast<int>(minions.size())));
        return *minions.back();
    }

    /** Waits until @p condition holds. */
    template<typename Condition>
    static bool until(std::int64_t ms, const Condition &condition)
    {
        const std::int64_t end = steadyMs() + ms;
        while (steadyMs() < end) {
            if (condition()) {
                return true;
            }
            sleepMs(20);
        }
        return condition();
    }

    std::size_t count(const std::function<bool(const Run &)> &matches)
    {
        const std::vector<Run> runs = truth.runs();
        return static_cast<std::size_t>(std::ranges::count_if(runs, matches));
    }

    Record record;
    std::string temporary;
    Store store;
    Deployment deployment;
    Requester requester;
    Truth truth;
    std::vector<std::unique_ptr<Minion>> minions;
    bool trouble;
};

int verdict(Scene &scene, bool isBroken, const std::string &reason)
{
    scene.record.line("%s: %s", isBroken ? "BROKEN" : "held", reason.c_str());
    std::printf("%s: %s\n", isBroken ? "BROKEN" : "held", reason.c_str());
    return isBroken ? broken : held;
}

int unableTo(Scene &scene, const std::string &reason)
{
    scene.record.line("can't run: %s", reason.c_str());
    std::printf("can't run: %s\n", reason.c_str());
    return unable;
}

/** TWICE: starts after a run of the task has ended `done`, where that end was taken note of, and concurrent runs. */
std::size_t runTwice(Scene &scene)
{
    std::map<std::string, std::vector<Run>> byTask;
    for (const Run &run : scene.truth.runs()) {
        byTask[run.task].push_back(run);
    }
    std::size_t count = 0;
    for (const auto &[task, runs] : byTask) {
        bool isTwice = false;
        for (const Run &first : runs) {
            for (const Run &second : runs) {
                if (second.begun <= first.begun && second.number <= first.number) {
                    continue;
                }
                const bool isAfterDone =
                    first.how == "done" && first.noted >= 0 && !first.hasLapsed && second.begun >= first.ended;
                const bool isBeside = first.ended < 0 || second.begun < first.ended;
                if ((isAfterDone || isBeside) && !isTwice) {
                    isTwice = true;
                    scene.record.line("TWICE %s: run %u on %s at %lld to %lld (%s, noted %lld), run %u on %s at %lld",
                                      task.c_str(), first.number, first.minion.c_str(),
                                      static_cast<long long>(first.begun), static_cast<long long>(first.ended),
                                      first.how.c_str(), static_cast<long long>(first.noted), second.number,
                                      second.minion.c_str(), static_cast<long long>(second.begun));
                }
            }
        }
        count += isTwice ? 1 : 0;
    }
    return count;
}

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

/** A route is dropped; then the writer is stopped and started again while a job of that route is at work. */
int droppedRoute(Scene &scene)
{
    constexpr std::int64_t finishMs = 14'000;
    constexpr std::int64_t idleMs = 3000;
    const auto workMs = [](const std::string &task) -> std::int64_t {
        return task.starts_with(jobId(1)) && task.find(".0.0.") != std::string::npos ? 9000 : 800;
    };
    scene.addMinion("i-minion-1", workMs);
    scene.addMinion("i-minion-2", workMs, "a", "r1-2");
    const json kept = route("r-kept", "/kept/", service);
    const json dropped = route("r-dropped", "/dropped/", service);
    scene.configure(7, json::array({ kept, dropped }));
    scene.deployment.startAll();
    if (!scene.deployment.awaitReady(15'000)) {
        return unableTo(scene, "the hosts aren't ready");
    }
    sleepMs(2000);
    json second = step(4, 4000, 4000, 800);
    second["after"] = json::array({ 0 });
    const json job = jobOf("two steps", { step(4, 4000, 4000, 9000), second });
    if (!scene.requester.submit("/dropped/" + jobId(1), job)) {
        return unableTo(scene, "the job wasn't accepted");
    }
    const auto startsOf = [&](const std::string &prefix) {
        return scene.count([&](const Run &run) { return run.task.starts_with(prefix); });
    };
    if (!Scene::until(3000, [&] { return startsOf(jobId(1) + ".0.0.") == 4; })) {
        return unableTo(scene, "the first step doesn't start");
    }
    scene.configure(9, json::array({ kept }));
    sleepMs(3000);
    scene.requester.attempt(0, "GET", "/dropped/" + jobId(1));
    Host *const writer = scene.deployment.writer();
    if (writer == nullptr) {
        return unableTo(scene, "no host writes");
    }
    if (scene.trouble) {
        scene.deployment.stop(*writer);
        scene.deployment.startProcess(*writer);
    }
    // The first step ends about 5 s later; then the second one's turn has come. The traffic has ended here.
    sleepMs(finishMs + idleMs + 2000);
    if (!scene.requester.submit("/kept/" + jobId(2), jobOf("control", { step(4, 4000, 4000, 800) }))) {
        return unableTo(scene, "the job of the kept route wasn't accepted");
    }
    sleepMs(4000);
    const std::size_t control =
        scene.count([&](const Run &run) { return run.task.starts_with(jobId(2)) && run.how == "done"; });
    const std::size_t first =
        scene.count([&](const Run &run) { return run.task.starts_with(jobId(1) + ".0.0.") && run.how == "done"; });
    const std::size_t successors = startsOf(jobId(1) + ".0.1.");
    if (control != 4) {
        return unableTo(scene, "the job of the kept route doesn't run either");
    }
    scene.record.line("dropped route's job: %zu ends done of its first step, %zu starts of its second step", first,
                      successors);
    return verdict(scene, first == 4 && successors == 0,
                   "the accepted job's second step had " + std::to_string(successors)
                       + " starts though its turn had come and the minions were idle (LOST)");
}

/** A minion crashes and starts again under its id as one of another kind. */
int otherKind(Scene &scene)
{
    constexpr int rounds = 5;
    const auto workMs = [](const std::string &) -> std::int64_t {
        return 60'000;
    };
    Minion &minion = scene.addMinion("i-minion-1", workMs, "a");
    for (int number = 2; number <= 8; ++number) {
        scene.addMinion("i-minion-" + std::to_string(number), workMs, "b", "r1-2");
    }
    scene.configure(7, json::array({ route("r-separations", "/separations/", service) }));
    scene.deployment.startAll();
    if (!scene.deployment.awaitReady(15'000)) {
        return unableTo(scene, "the hosts aren't ready");
    }
    sleepMs(2000);
    json bound = step(4, 4000, 4000, 60'000);
    bound["requirements"] = "a";
    const json job = jobOf("needs kind a", { bound });
    if (!scene.requester.submit("/separations/" + jobId(1), job)) {
        return unableTo(scene, "the job wasn't accepted");
    }
    if (!Scene::until(3000, [&] { return minion.runningCount() == 4; })) {
        return unableTo(scene, "the job doesn't start");
    }
    std::string kind = "a";
    for (int round = 0; round < rounds; ++round) {
        if (scene.trouble) {
            minion.crash();
            sleepMs(3000);
            kind = kind == "a" ? "b" : "a";
            minion.restart(kind);
        }
        sleepMs(4000);
    }
    const std::size_t wrong = scene.count([](const Run &run) { return run.labels != "a"; });
    return verdict(scene, wrong > 0,
                   std::to_string(wrong) + " starts on a minion without the label in `requirements` (ROUTE)");
}

/** The settings file changes: the advice service has another address, and SIGHUP tells so. */
int movedAdvice(Scene &scene)
{
    const auto workMs = [](const std::string &) -> std::int64_t {
        return 800;
    };
    scene.addMinion("i-minion-1", workMs, "a", "r1-1", true);
    scene.addMinion("i-minion-2", workMs, "a", "r1-2", true);
    const auto advise = [&scene](const std::string &name) {
        return [&scene, name](const Request &request) -> Response {
            const json body = json::parse(request.body);
            json healthy = json::array();
            for (const json &worker : body.at("workers")) {
                healthy.push_back({ worker, "ticket-" + worker.get<std::string>() });
            }
            scene.record.line("advice service %s: asked for %s", name.c_str(),
                              body.at("step").get<std::string>().c_str());
            sleepMs(20);
            return { 200, json { { "healthy", healthy }, { "validMs", 3000 } }.dump() };
        };
    };
    Server former(advise("former"));
    Server next(advise("next"));
    former.listen(scene.deployment.ip(5));
    next.listen(scene.deployment.ip(6));
    scene.deployment.setAdvice(former.address());
    json queue = route("r-advised", "/advised/", service);
    queue["advice"] = { { "decideMs", 10 }, { "periodMs", 5 }, { "validMs", 3000 } };
    scene.configure(7, json::array({ queue, route("r-plain", "/plain/", service) }));
    scene.deployment.startAll();
    if (!scene.deployment.awaitReady(15'000)) {
        return unableTo(scene, "the hosts aren't ready");
    }
    sleepMs(2000);
    const json job = jobOf("advised", { step(4, 4000, 4000, 800) });
    const auto doneOf = [&](int number) {
        return scene.count([&](const Run &run) { return run.task.starts_with(jobId(number)) && run.how == "done"; });
    };
    if (!scene.requester.submit("/advised/" + jobId(1), job) || !Scene::until(6000, [&] { return doneOf(1) == 4; })) {
        return unableTo(scene, "the job before the change isn't done");
    }
    if (scene.trouble) {
        scene.deployment.setAdvice(next.address());
        for (const Host &host : scene.deployment.hosts()) {
            scene.deployment.writeSettings(host);
        }
        const Host *const writer = scene.deployment.writer();
        if (writer == nullptr) {
            return unableTo(scene, "no host gives the orders");
        }
        scene.deployment.signal(*writer, SIGHUP);
        scene.record.line("settings: the advice service moves; SIGHUP to %s", writer->name.c_str());
        sleepMs(2000);
        former.stop();
    }
    sleepMs(1000);
    if (!scene.requester.submit("/advised/" + jobId(2), job)) {
        return unableTo(scene, "the second job wasn't accepted");
    }
    sleepMs(15'000);
    return verdict(scene, doneOf(2) == 0,
                   std::to_string(doneOf(2)) + " of 4 tasks of the accepted job are done after 15 s (LOST)");
}

/** Starts processes again a second after they have ended by themselves, and counts that for each host. */
class Watchdog
{
public:
    explicit Watchdog(Deployment &deployment)
        : m_deployment(deployment)
    {
    }

    /** Looks after the processes for @p ms. */
    void watch(std::int64_t ms)
    {
        constexpr std::int64_t restartMs = 1000;
        const std::int64_t until = steadyMs() + ms;
        while (steadyMs() < until) {
            for (Host &host : m_deployment.hosts()) {
                if (m_deployment.hasEnded(host)) {
                    ++m_ends[host.name];
                    m_restartAt[host.name] = steadyMs() + restartMs;
                }
                if (host.pid == 0 && steadyMs() >= m_restartAt[host.name]) {
                    m_deployment.startProcess(host);
                }
            }
            sleepMs(20);
        }
    }

    /** Hosts on which processes ended by themselves at least @p times. */
    [[nodiscard]] std::size_t hostsWith(int times) const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(m_ends, [times](const auto &entry) { return entry.second >= times; }));
    }

    [[nodiscard]] int total() const
    {
        int sum = 0;
        for (const auto &[name, count] : m_ends) {
            sum += count;
        }
        return sum;
    }

private:
    Deployment &m_deployment;
    std::map<std::string, int> m_ends;
    std::map<std::string, std::int64_t> m_restartAt;
};

/** A minion is cut off for a second while it runs tasks of a repeated job of which copies may run; in rounds. */
int waitingCopy(Scene &scene)
{
    constexpr int rounds = 9;
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
        watchdog.watch(scene.trouble ? 8500 : 4000);
    }
    return verdict(scene, watchdog.hostsWith(endsOfOneHost) >= hostsOfFault,
                   "processes ended by themselves " + std::to_string(watchdog.total())
                       + " times, at least three times on " + std::to_string(watchdog.hostsWith(endsOfOneHost))
                       + " of 3 machines (Fault)");
}

} // namespace

int main(int argc, char **argv)
{
    const std::map<std::string, int (*)(Scene &)> cases { { "many-ends", manyEnds },
                                                          { "dropped-route", droppedRoute },
                                                          { "other-kind", otherKind },
                                                          { "moved-advice", movedAdvice },
                                                          { "waiting-copy", waitingCopy } };
    if (argc != 3 || !cases.contains(argv[2])) {
        std::fprintf(stderr, "usage: %s FOLDER CASE\n", argv[0]);
        return unable;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const char *const trouble = std::getenv("TROUBLE");
    int result = unable;
    std::string temporary;
    try {
        // Threads of the stand-ins use the scene until the process ends, so it is never destroyed.
        auto *const scene = new Scene(argv[1], trouble == nullptr || std::string(trouble) != "0");
        temporary = scene->temporary;
        result = cases.at(argv[2])(*scene);
        for (Host &host : scene->deployment.hosts()) {
            scene->deployment.signal(host, SIGCONT);
            scene->deployment.signal(host, SIGKILL);
            Deployment::reap(host);
        }
    } catch (const std::exception &error) {
        std::printf("can't run: %s\n", error.what());
    }
    if (std::getenv("REVIEW_KEEP") == nullptr) {
        std::filesystem::remove_all(temporary);
    } else {
        std::printf("logs: %s\n", temporary.c_str());
    }
    std::fflush(nullptr);
    std::_Exit(result);
}
