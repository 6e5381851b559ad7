// The store carries out a placement of the writer, which learns of that when its claim counts no more. Another host has
// taken over by then, without a path to the worker of that placement.
//
//     currantring-late-commit RECORD answer|pause
//
// With "answer", the store answers the placement late; with "pause", the process is stopped before the answer and goes
// on later. The store answers nothing else to that host meanwhile.
//
// Run in a folder with target/bin and charts. Exits with 1 if the former writer starts the task, 0 if it doesn't, 2 if
// it couldn't be played.

#include <world.hh>

#include "jobrecord.h"
#include "storelayout.h"

using namespace currantring;

namespace {

const char *const ip = "127.0.0.1";
/** A claim counts for 3 s after its last proof; the answer to the placement is read later. */
constexpr std::int64_t claimTermMs = 3000;
constexpr int answerDelayMs = 3700;
/** By then the next writer has started the task elsewhere. */
constexpr int pauseMs = 8400;
/** Everything is reachable again after this time; by then the former writer would have sent its start. */
constexpr int restMs = 1000;
/** The order in which a process reads what came during a pause differs, so there are more rounds with it. */
constexpr int roundsWithAnswer = 2;
constexpr int roundsWithPause = 4;
constexpr int recoveryMs = 20'000;
constexpr std::int64_t firstStepMs = 700;
constexpr std::int64_t secondStepMs = 60'000;

enum class Delay { OfAnswer, OfProcess };

/** What the play does at the moment; guarded by the lock of the world. */
struct Trouble
{
    /** The job whose second step the play waits for; empty when everything is reachable. */
    std::string job;
    /** The worker of its placement; empty until it is placed. */
    std::string worker;
    std::uint64_t formerToken = 0;
    std::int64_t placedAt = 0;

    [[nodiscard]] bool cuts(const std::string &id, std::uint64_t token) const
    {
        return id == worker && token > formerToken;
    }
};

/** The worker on which @p request places the second step of @p job. */
std::optional<std::string> placementIn(const review3::Request &request, const std::string &job)
{
    if (request.path != "/currantring/kv-txn") {
        return std::nullopt;
    }
    const nlohmann::json body = nlohmann::json::parse(request.body);
    for (const nlohmann::json &entry : body.value("setKeys", nlohmann::json::array())) {
        if (StoreLayout {}.slotOf(entry.at("key").get<std::string>()) == 0) {
            continue;
        }
        const auto slot = decodeJobSlot(review3::decode64(entry.at("value").get<std::string>()));
        for (const JobRecord &record : slot ? slot->records : std::vector<JobRecord>()) {
            const auto *const placed = std::get_if<RunPlaced>(&record);
            if (placed != nullptr && placed->run.task.step.job.value() == job && placed->run.task.step.step == 1) {
                return placed->worker.value();
            }
        }
    }
    return std::nullopt;
}

/** One host's path to the store. */
class StorePath
{
public:
    /** @p onPlacement runs before the placement that the play waits for is answered. */
    StorePath(review3::Site &site, Trouble &trouble, int storePort, std::function<void()> onPlacement)
        : m_site(site)
        , m_trouble(trouble)
        , m_storePort(storePort)
        , m_onPlacement(std::move(onPlacement))
    {
    }

    int listen()
    {
        return m_server.listen(ip, [this](const review3::Request &request) { return handle(request); });
    }

    void restore()
    {
        m_isSilent = false;
    }

private:
    std::optional<review3::Response> handle(const review3::Request &request)
    {
        if (m_isSilent) {
            return std::nullopt;
        }
        const bool isPlacement = notePlacement(request);
        m_isSilent = m_isSilent || isPlacement;
        const review3::Response response = forward(request);
        if (isPlacement) {
            m_onPlacement();
            m_site.world.note("the store answers the placement with " + std::to_string(response.status));
            return response;
        }
        return m_isSilent || response.status == 0 ? std::nullopt : std::optional(response);
    }

    /** True for the placement that the play waits for. */
    bool notePlacement(const review3::Request &request)
    {
        const std::lock_guard lock(m_site.world.mutex);
        if (m_trouble.job.empty() || !m_trouble.worker.empty()) {
            return false;
        }
        const std::optional<std::string> worker = placementIn(request, m_trouble.job);
        if (!worker) {
            return false;
        }
        m_trouble.worker = *worker;
        m_trouble.placedAt = m_site.world.now();
        m_site.world.note("the store is silent to this host from now on; the next one has no path to " + *worker);
        return true;
    }

    review3::Response forward(const review3::Request &request) const
    {
        constexpr int timeoutMs = 60'000;
        std::string path = request.path;
        for (const auto &[name, value] : request.query) {
            path += (path.size() == request.path.size() ? "?" : "&") + name;
            path += "=" + value;
        }
        return review3::call(ip, m_storePort, request.method, path, "store", request.body, timeoutMs);
    }

    review3::Site &m_site;
    Trouble &m_trouble;
    int m_storePort;
    std::function<void()> m_onPlacement;
    std::atomic<bool> m_isSilent { false };
    review3::Server m_server;
};

class Play
{
public:
    Play(const char *record, Delay delay)
        : m_site(record)
        , m_delay(delay)
    {
    }

    int run()
    {
        for (const char *const name : { "edge-1", "edge-2", "edge-3" }) {
            addHost(name);
        }
        for (const char *const id : { "w-1", "w-2", "w-3", "w-4", "w-5" }) {
            addWorker(id);
        }
        m_site.configure(
            review3::configuration(1, nlohmann::json::array({ review3::queue("r-orders", "/orders/", 4) })));
        constexpr int settleMs = 2500;
        if (!m_site.begin()) {
            return review3::end(m_site, 2);
        }
        review3::sleepMs(settleMs);
        const int rounds = m_delay == Delay::OfAnswer ? roundsWithAnswer : roundsWithPause;
        for (int round = 0; round < rounds; ++round) {
            const std::string job = "5c0e7a21d94b000" + std::to_string(round);
            if (!playRound(job)) {
                m_site.world.note("the round couldn't be played");
                return review3::end(m_site, 2);
            }
            if (formerWriterStarts(job)) {
                return review3::end(m_site, 1);
            }
        }
        return review3::end(m_site, 0);
    }

private:
    void addHost(const std::string &name)
    {
        constexpr double cpuShare = 0.25;
        constexpr std::size_t firstAddress = 11;
        const std::size_t index = m_site.hosts.size();
        m_paths.push_back(std::make_unique<StorePath>(m_site, m_trouble, m_site.store.listen(ip).number,
                                                      [this, index] { delay(*m_site.hosts[index]); }));
        const std::string address = m_site.net + std::to_string(firstAddress + index);
        m_site.hosts.push_back(std::make_unique<review3::Host>(m_site.world, name, address, cpuShare,
                                                               m_paths.back()->listen(), m_site.folder));
    }

    void delay(review3::Host &host) const
    {
        if (m_delay == Delay::OfProcess) {
            host.signal(SIGSTOP, "is stopped");
        } else {
            review3::sleepMs(answerDelayMs);
        }
    }

    void addWorker(const std::string &id)
    {
        review3::Minion::Options options;
        options.id = id;
        options.service = "desk";
        options.work = [](const std::string &task, std::uint64_t /*run*/) {
            const bool isFirst = task.find(".0.0.0") != std::string::npos;
            return review3::Work { isFirst ? firstStepMs : secondStepMs, false };
        };
        auto worker = std::make_unique<review3::Minion>(m_site.world, m_site.store, m_site.truth, options);
        worker->isCutFrom = [this, id](std::uint64_t token) {
            return m_trouble.cuts(id, token);
        };
        worker->start(ip);
        m_site.minions.push_back(std::move(worker));
    }

    bool playRound(const std::string &job)
    {
        review3::Host *const writer = m_site.writer();
        const std::string body = R"({"spec":"work","steps":[{"count":1,"cpu":500,"memMb":256,"estimateMs":700},)"
                                 R"({"count":1,"cpu":500,"memMb":256,"estimateMs":60000,"after":[0]}]})";
        constexpr int startMs = 3000;
        if (writer == nullptr || writer->ask("POST", "/orders/" + job, body).status != 200
            || !m_site.waitFor(startMs, [this, &job] { return !m_site.runsOf(job + ".0.0.0").empty(); })) {
            return false;
        }
        expectPlacementOf(job);
        constexpr int placementMs = 5000;
        if (!m_site.waitFor(placementMs, [this] {
                const std::lock_guard lock(m_site.world.mutex);
                return !m_trouble.worker.empty();
            })) {
            return false;
        }
        if (m_delay == Delay::OfProcess) {
            review3::sleepMs(pauseMs);
            writer->signal(SIGCONT, "goes on");
        } else {
            review3::sleepMs(answerDelayMs);
        }
        review3::sleepMs(restMs);
        endTrouble();
        return m_site.waitFor(recoveryMs, [this, &job] { return !m_site.runsOf(job + ".0.1.").empty(); });
    }

    void expectPlacementOf(const std::string &job)
    {
        const std::lock_guard lock(m_site.world.mutex);
        m_trouble = { job, {}, m_site.truth.runs.back().token, 0 };
    }

    void endTrouble()
    {
        for (const auto &path : m_paths) {
            path->restore();
        }
        const std::lock_guard lock(m_site.world.mutex);
        m_trouble.job.clear();
        m_trouble.worker.clear();
        m_site.world.note("all paths are back");
    }

    /** Nothing has proven the claim since the placement, so it counts for nothing more after its term. */
    bool formerWriterStarts(const std::string &job)
    {
        const std::vector<review3::Run> runs = m_site.runsOf(job + ".0.1.");
        const std::lock_guard lock(m_site.world.mutex);
        return std::ranges::any_of(runs, [this](const review3::Run &run) {
            return run.token == m_trouble.formerToken && run.startedAt > m_trouble.placedAt + claimTermMs;
        });
    }

    review3::Site m_site;
    Delay m_delay;
    Trouble m_trouble;
    std::vector<std::unique_ptr<StorePath>> m_paths;
};

} // namespace

int main(int argc, char **argv)
{
    const std::string_view delay = argc == 3 ? argv[2] : "";
    if (delay != "answer" && delay != "pause") {
        std::fputs("expected RECORD answer|pause\n", stderr);
        return 2;
    }
    return Play(argv[1], delay == "answer" ? Delay::OfAnswer : Delay::OfProcess).run();
}
