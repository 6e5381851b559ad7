// The store turns the leading host away while it writes a placement, and serves it again after its successor has taken
// over. The successor has lost the path to the minion of that placement meanwhile.
#include "../standin-3/world.hh"

#include <random>

using namespace review3;

namespace {

/** The same disturbance, again and again, as the host asks the store several things at once when it is back. */
constexpr int rounds = 9;
/** How long the store turns the first host away, and up to how much longer, as an outage ends at any moment. */
constexpr int refusalMs = 8400;
constexpr int moreMs = 400;
/** From then on the successor reaches the minion again. */
constexpr int restMs = 400;
/** The path to the minion is cut twice, 5 s and the rest, so far apart. */
constexpr std::int64_t firstCutMs = 5000;
constexpr std::int64_t gapMs = 50;
constexpr std::int64_t longMs = 150'000;
constexpr std::int64_t firstStepMs = 700;
constexpr int unavailable = 503;

std::string jobId(int round)
{
    char text[32];
    std::snprintf(text, sizeof(text), "5c0e7a21d94b%04x", round);
    return text;
}

Work workOf(const std::string &task, std::uint64_t /*run*/)
{
    return { task.find(".0.0.0") != std::string::npos ? firstStepMs : longMs, false };
}

/** The path that is cut: from the host that leads after the one with the token @p former to the minion @p minion. */
struct Cut
{
    std::string minion;
    std::uint64_t former = 0;
    /** 0 until it has ordered something. */
    std::uint64_t successor = 0;
    std::int64_t begunAt = 0;

    bool holds(const std::string &id, std::uint64_t token, std::int64_t now)
    {
        if (now - begunAt >= firstCutMs && now - begunAt < firstCutMs + gapMs) {
            return false;
        }
        if (!minion.empty() && successor == 0 && token > former) {
            successor = token;
        }
        return id == minion && token == successor;
    }
};

/** The minion on which a write to the log places the second step of @p job; empty when it doesn't. */
std::string placementIn(const json &txn, const std::string &job)
{
    for (const json &set : txn.value("setKeys", json::array())) {
        if (!set.at("key").get<std::string>().starts_with("currantring/log/")) {
            continue;
        }
        const json slot = json::from_cbor(decode64(set.at("value").get<std::string>()));
        for (const json &record : slot.at(2)) {
            if (record.at(0) == 2 && record.at(1).at(0) == job && record.at(1).at(2) == 1) {
                return record.at(3).get<std::string>();
            }
        }
    }
    return {};
}

/** Notes tasks of which two runs are at work at the same time. */
bool runsTwice(Site &site)
{
    bool isBroken = false;
    const std::vector<Run> runs = site.runsOf("5c0e7a21d94b");
    for (std::size_t left = 0; left < runs.size(); ++left) {
        for (std::size_t right = left + 1; right < runs.size(); ++right) {
            const std::int64_t begin = std::max(runs[left].startedAt, runs[right].startedAt);
            const auto endOf = [&site](const Run &run) { return run.endedAt < 0 ? site.world.now() : run.endedAt; };
            const std::int64_t until = std::min(endOf(runs[left]), endOf(runs[right]));
            if (runs[left].task == runs[right].task && begin < until) {
                isBroken = true;
                site.world.note("TWICE: " + runs[left].task + " runs on " + runs[left].minion + " and "
                                + runs[right].minion + " for " + std::to_string(until - begin) + " ms");
            }
        }
    }
    return isBroken;
}

/** False when the round couldn't be played. */
bool playRound(Site &site, Cut &cut, int round)
{
    Host *const first = site.writer();
    if (first == nullptr) {
        return false;
    }
    const auto place = std::ranges::find_if(site.hosts, [first](const auto &host) { return host.get() == first; });
    Store::Port &port = *site.ports[static_cast<std::size_t>(place - site.hosts.begin())];
    site.world.note("host " + first->name() + " leads");
    const std::string job = jobId(round);
    const std::string body = R"({"spec":"work","steps":[{"count":1,"cpu":500,"memMb":256,"estimateMs":700},)"
                             R"({"count":1,"cpu":500,"memMb":256,"estimateMs":60000,"after":[0]}]})";
    if (first->ask("POST", "/orders/" + job, body).status != 200
        || !site.waitFor(3000, [&site, &job] { return !site.runsOf(job + ".0.0.0").empty(); })) {
        return false;
    }
    if (!hasTrouble()) {
        sleepMs(refusalMs + restMs);
        return !site.runsOf(job + ".0.1.").empty();
    }
    {
        const std::lock_guard lock(site.world.mutex);
        cut.former = site.truth.runs.back().token;
        cut.successor = 0;
        // Runs under the lock that the minions ask for the cut under as well.
        port.isPlacement = [&site, &cut, job](const json &txn) {
            cut.minion = placementIn(txn, job);
            cut.begunAt = site.world.now();
            if (!cut.minion.empty()) {
                site.world.note("the host that leads next has no path to " + cut.minion);
            }
            return !cut.minion.empty();
        };
        port.refusal = unavailable;
        port.losesNextPlacement = true;
    }
    if (!site.waitFor(5000, [&port] { return port.isSilent.load(); })) {
        return false;
    }
    sleepMs(refusalMs + static_cast<int>(std::random_device()() % moreMs));
    port.isSilent = false;
    site.world.note("the store serves host " + first->name() + " again");
    sleepMs(restMs);
    const std::lock_guard lock(site.world.mutex);
    cut.minion.clear();
    site.world.note("the path is back");
    return true;
}

} // namespace

int main(int /*argc*/, char **argv)
{
    Site site(argv[1]);
    Cut cut;
    for (const char *const name : { "edge-1", "edge-2", "edge-3" }) {
        site.addHost(name, 0.25);
    }
    for (const char *const id : { "w-1", "w-2", "w-3", "w-4", "w-5" }) {
        Minion::Options options;
        options.id = id;
        options.service = "desk";
        options.work = workOf;
        site.addMinion(options);
        site.minions.back()->isCutFrom = [&site, &cut, id = std::string(id)](std::uint64_t token) {
            return cut.holds(id, token, site.world.now());
        };
    }
    site.configure(configuration(1, { queue("r-orders", "/orders/", 4) }));
    if (!site.begin()) {
        return end(site, 2);
    }
    sleepMs(2500);
    for (int round = 0; round < (hasTrouble() ? rounds : 2); ++round) {
        if (!playRound(site, cut, round)) {
            site.world.note("the round couldn't be played");
            return end(site, 2);
        }
        if (runsTwice(site)) {
            return end(site, 1);
        }
        sleepMs(700);
    }
    return end(site, 0);
}
