#pragma once

// What the cases share: a small deployment with its record, checks, and the frame of a case's program.

#include "deployment.hh"

#include <sys/utsname.h>

namespace review2 {

constexpr int held = 0;
constexpr int broken = 1;
constexpr int unable = 2;
inline const std::string service = "order-desk";

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

inline int verdict(Scene &scene, bool isBroken, const std::string &reason)
{
    scene.record.line("%s: %s", isBroken ? "BROKEN" : "held", reason.c_str());
    std::printf("%s: %s\n", isBroken ? "BROKEN" : "held", reason.c_str());
    return isBroken ? broken : held;
}

inline int unableTo(Scene &scene, const std::string &reason)
{
    scene.record.line("can't run: %s", reason.c_str());
    std::printf("can't run: %s\n", reason.c_str());
    return unable;
}

/** TWICE: starts after a run of the task has ended `done`, where that end was taken note of, and concurrent runs. */
inline std::size_t runTwice(Scene &scene)
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

/** Starts processes again a second after they have ended by themselves, and counts that for each host. */
class Watchdog
{
public:
    explicit Watchdog(Deployment &deployment)
        : m_deployment(deployment)
    {
    }

    /** Kills processes that take more than @p megabytes, as the platform does. */
    void limitMemory(std::int64_t megabytes)
    {
        m_megabytes = megabytes;
    }

    /** Looks after the processes for @p ms. */
    void watch(std::int64_t ms)
    {
        const std::int64_t until = steadyMs() + ms;
        while (steadyMs() < until) {
            for (Host &host : m_deployment.hosts()) {
                if (m_megabytes > 0 && m_deployment.residentMegabytes(host) > m_megabytes) {
                    m_deployment.killForMemory(host);
                    noteEnd(host);
                }
                if (m_deployment.hasEnded(host)) {
                    noteEnd(host);
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
    void noteEnd(const Host &host)
    {
        constexpr std::int64_t restartMs = 1000;
        ++m_ends[host.name];
        m_restartAt[host.name] = steadyMs() + restartMs;
    }

    Deployment &m_deployment;
    /** 0: no limit. */
    std::int64_t m_megabytes = 0;
    std::map<std::string, int> m_ends;
    std::map<std::string, std::int64_t> m_restartAt;
};

/**
 * Plays a case in the folder that the first argument names. TROUBLE=0 leaves the disruption out. The result is 1 if the
 * rule was broken, 0 if it held, 2 if the case couldn't run.
 */
[[noreturn]] inline void runCase(int argc, char **argv, int (*play)(Scene &))
{
    if (argc != 2) {
        std::fprintf(stderr, "usage: %s FOLDER\n", argv[0]);
        std::_Exit(unable);
    }
    std::signal(SIGPIPE, SIG_IGN);
    const char *const trouble = std::getenv("TROUBLE");
    int result = unable;
    std::string temporary;
    try {
        // Threads of the stand-ins use the scene until the process ends, so it is never destroyed.
        auto *const scene = new Scene(argv[1], trouble == nullptr || std::string(trouble) != "0");
        temporary = scene->temporary;
        result = play(*scene);
        for (Host &host : scene->deployment.hosts()) {
            scene->deployment.signal(host, SIGKILL);
            Deployment::reap(host);
        }
    } catch (const std::exception &error) {
        std::printf("can't run: %s\n", error.what());
    }
    std::filesystem::remove_all(temporary);
    std::fflush(nullptr);
    std::_Exit(result);
}

} // namespace review2
