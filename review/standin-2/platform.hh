#pragma once

// Stand-ins of the platform: its store, its minions and the advice service, as PROTOCOL.md describes them.

#include "http.hh"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <memory>
#include <vector>

#include <nlohmann/json.hpp>

namespace review2 {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

inline std::int64_t steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now().time_since_epoch()).count();
}

inline std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/** Writes record.txt: one line for each event, with the milliseconds since the case began. */
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(std::fopen(path.c_str(), "w"))
        , m_begun(steadyMs())
    {
    }

    std::int64_t now() const
    {
        return steadyMs() - m_begun;
    }

    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::lock_guard lock(m_mutex);
        std::fprintf(m_file, "%8lld ", static_cast<long long>(now()));
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::FILE *m_file;
    std::int64_t m_begun;
    std::mutex m_mutex;
};

inline std::string encodeBase64(const std::string &bytes)
{
    static const char *const letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t word = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            word = (word << 8U) | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            out += i + j > bytes.size() ? '=' : letters[(word >> (18 - 6 * j)) & 63U];
        }
    }
    return out;
}

inline std::string decodeBase64(const std::string &text)
{
    std::string out;
    std::uint32_t word = 0;
    int bits = 0;
    for (const char letter : text) {
        int value = 0;
        if (letter >= 'A' && letter <= 'Z') {
            value = letter - 'A';
        } else if (letter >= 'a' && letter <= 'z') {
            value = letter - 'a' + 26;
        } else if (letter >= '0' && letter <= '9') {
            value = letter - '0' + 52;
        } else if (letter == '+') {
            value = 62;
        } else if (letter == '/') {
            value = 63;
        } else {
            break;
        }
        word = (word << 6U) | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            out += static_cast<char>((word >> static_cast<unsigned>(bits)) & 255U);
        }
    }
    return out;
}

/** The metadata store: items, leases, watches, conditional writes. */
class Store
{
public:
    explicit Store(Record &record)
        : m_record(record)
        , m_server([this](const Request &request) { return handle(request); })
    {
    }

    void listen(const std::string &ip)
    {
        m_server.listen(ip);
        std::thread([this] {
            while (true) {
                sleepMs(20);
                const std::lock_guard lock(m_mutex);
                expireLeases();
            }
        }).detach();
    }

    const std::string &address() const
    {
        return m_server.address();
    }

    /** While down, every call is answered with 503. */
    void setDown(bool isDown)
    {
        const std::lock_guard lock(m_mutex);
        m_isDown = isDown;
        // Leases pause meanwhile.
        const std::int64_t now = steadyMs();
        if (isDown) {
            m_downSince = now;
        } else {
            for (auto &[id, lease] : m_leases) {
                lease.until += now - m_downSince;
            }
        }
        m_changed.notify_all();
        m_record.line("store %s", isDown ? "down (503)" : "up");
    }

    /** How long a conditional write takes to be answered; it is carried out on arrival. */
    void setAnswerDelay(std::int64_t ms)
    {
        const std::lock_guard lock(m_mutex);
        m_answerDelay = ms;
    }

    /** Runs @p hook, without the lock, after a conditional write to a key with @p part in its name was carried out. */
    void onWrite(const std::string &part, std::function<void()> hook)
    {
        const std::lock_guard lock(m_mutex);
        m_hookPart = part;
        m_hook = std::move(hook);
    }

    /** A write of the operator, or of a minion. */
    void put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        write(key, value, 0);
        m_changed.notify_all();
    }

    std::optional<std::string> get(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_items.find(key);
        return found == m_items.end() ? std::nullopt : std::optional(found->second.value);
    }

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Lease
    {
        std::int64_t ttl = 0;
        std::int64_t until = 0;
    };
    struct Event
    {
        std::string key;
        std::uint64_t revision = 0;
        std::optional<Item> item;
    };

    static Response reply(int status, const json &body)
    {
        return { status, body.dump() };
    }

    static json show(const std::string &key, const Item &item)
    {
        return { { "key", key },
                 { "value", encodeBase64(item.value) },
                 { "revision", item.revision },
                 { "created", item.created },
                 { "lease", item.lease } };
    }

    void write(const std::string &key, const std::string &value, std::uint64_t lease)
    {
        Item &item = m_items[key];
        ++m_revision;
        item = { value, m_revision, item.created == 0 ? m_revision : item.created, lease };
        m_events.push_back({ key, m_revision, item });
    }

    void erase(const std::string &key)
    {
        if (m_items.erase(key) != 0) {
            m_events.push_back({ key, ++m_revision, std::nullopt });
        }
    }

    void expireLeases()
    {
        if (m_isDown) {
            return;
        }
        const std::int64_t now = steadyMs();
        for (auto lease = m_leases.begin(); lease != m_leases.end();) {
            if (lease->second.until > now) {
                ++lease;
                continue;
            }
            endLease(lease->first);
            lease = m_leases.erase(lease);
        }
    }

    void endLease(std::uint64_t id)
    {
        std::vector<std::string> keys;
        for (const auto &[key, item] : m_items) {
            if (item.lease == id) {
                keys.push_back(key);
            }
        }
        for (const std::string &key : keys) {
            erase(key);
        }
        m_changed.notify_all();
    }

    Response handle(const Request &request)
    {
        std::unique_lock lock(m_mutex);
        if (m_isDown) {
            return { 503, "{}" };
        }
        expireLeases();
        const std::string path = request.path();
        if (path == "/currantring/kv-key") {
            const auto found = m_items.find(request.query("key"));
            json body = found == m_items.end() ? json::object() : show(found->first, found->second);
            body["currentRev"] = m_revision;
            return reply(found == m_items.end() ? 404 : 200, body);
        }
        if (path == "/currantring/kv-range") {
            return range(request);
        }
        if (path == "/currantring/kv-watch") {
            return watch(request, lock);
        }
        if (path == "/currantring/kv-txn") {
            return transact(json::parse(request.body), lock);
        }
        if (path == "/currantring/kv-lease") {
            const std::int64_t ttl =
                std::clamp<std::int64_t>(json::parse(request.body).at("ttlMs").get<std::int64_t>(), 1000, 600'000);
            m_leases[++m_lastLease] = { ttl, steadyMs() + ttl };
            return reply(200, { { "lease", m_lastLease }, { "ttlMs", ttl } });
        }
        const std::uint64_t id = std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
        const auto lease = m_leases.find(id);
        if (lease == m_leases.end()) {
            return { 404, "{}" };
        }
        if (path.starts_with("/currantring/kv-keep/")) {
            lease->second.until = steadyMs() + lease->second.ttl;
            return reply(200, { { "ttlMs", lease->second.ttl } });
        }
        endLease(id);
        m_leases.erase(id);
        return { 200, "{}" };
    }

    Response range(const Request &request)
    {
        constexpr std::size_t pageItems = 500;
        constexpr std::size_t pageBytes = 1'000'000;
        const std::string prefix = request.query("prefix");
        const std::string after = request.query("after");
        json items = json::array();
        std::size_t bytes = 0;
        bool more = false;
        for (auto item = m_items.lower_bound(prefix); item != m_items.end() && item->first.starts_with(prefix);
             ++item) {
            if (!after.empty() && item->first <= after) {
                continue;
            }
            if (items.size() >= pageItems || bytes > pageBytes) {
                more = true;
                break;
            }
            items.push_back(show(item->first, item->second));
            bytes += item->second.value.size();
        }
        return reply(200, { { "items", items }, { "morePages", more }, { "currentRev", m_revision } });
    }

    Response watch(const Request &request, std::unique_lock<std::mutex> &lock)
    {
        const std::string prefix = request.query("prefix");
        const std::uint64_t after = std::strtoull(request.query("after").c_str(), nullptr, 10);
        const auto until = Clock::now() + std::chrono::milliseconds(std::stoll(request.query("waitMs")));
        while (true) {
            json events = json::array();
            for (const Event &event : m_events) {
                if (event.revision > after && event.key.starts_with(prefix)) {
                    events.push_back(
                        event.item
                            ? show(event.key, *event.item)
                            : json { { "key", event.key }, { "revision", event.revision }, { "deleted", true } });
                }
            }
            if (m_isDown) {
                return { 503, "{}" };
            }
            if (!events.empty() || Clock::now() >= until) {
                return reply(200, { { "events", events }, { "currentRev", m_revision } });
            }
            m_changed.wait_until(lock, until);
        }
    }

    Response transact(const json &body, std::unique_lock<std::mutex> &lock)
    {
        const auto answer = [&](Response response) {
            const std::int64_t delay = m_answerDelay;
            lock.unlock();
            sleepMs(delay);
            return response;
        };
        json conflicts = json::array();
        bool holds = true;
        for (const json &row : body.value("expectedRev", json::array())) {
            const std::string key = row.at("key");
            const auto found = m_items.find(key);
            const std::uint64_t revision = found == m_items.end() ? 0 : found->second.revision;
            holds = holds && revision == row.at("revision").get<std::uint64_t>();
            conflicts.push_back(found == m_items.end() ? json { { "key", key }, { "revision", 0 } }
                                                       : show(key, found->second));
        }
        if (!holds) {
            return answer(reply(412, { { "items", conflicts } }));
        }
        for (const json &row : body.value("setKeys", json::array())) {
            const std::uint64_t lease = row.value("lease", std::uint64_t { 0 });
            if (lease != 0 && !m_leases.contains(lease)) {
                return answer({ 404, "{}" });
            }
        }
        // All entries of one write have the revision of that write.
        std::function<void()> hook;
        const std::uint64_t revision = m_revision + 1;
        for (const json &row : body.value("setKeys", json::array())) {
            const std::string key = row.at("key");
            m_revision = revision - 1;
            write(key, decodeBase64(row.at("value")), row.value("lease", std::uint64_t { 0 }));
            if (m_hook && key.find(m_hookPart) != std::string::npos) {
                hook = std::exchange(m_hook, nullptr);
            }
        }
        for (const json &key : body.value("deleteKeys", json::array())) {
            m_revision = revision - 1;
            erase(key.get<std::string>());
        }
        m_revision = revision;
        m_changed.notify_all();
        if (hook) {
            lock.unlock();
            hook();
            lock.lock();
        }
        return answer(reply(200, { { "revision", revision } }));
    }

    Record &m_record;
    Server m_server;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::vector<Event> m_events;
    std::map<std::uint64_t, Lease> m_leases;
    std::uint64_t m_revision = 100;
    std::uint64_t m_lastLease = 70'000;
    std::int64_t m_answerDelay = 4;
    std::int64_t m_downSince = 0;
    bool m_isDown = false;
    std::string m_hookPart;
    std::function<void()> m_hook;
};

/** What a run of a task looked like to its minion. */
struct Run
{
    std::string task;
    std::uint32_t number = 0;
    std::string minion;
    std::string labels;
    std::uint64_t token = 0;
    std::int64_t begun = 0;
    std::int64_t length = 0;
    /** -1 while it runs. */
    std::int64_t ended = -1;
    std::string how;
    std::uint64_t endNumber = 0;
    /** When the end was taken note of; -1 before. */
    std::int64_t noted = -1;
    /** The minion's lease lapsed after the end and before it was taken note of, which excuses a further start. */
    bool hasLapsed = false;
};

/** Every run on every minion; guarded by a lock of its own. */
class Truth
{
public:
    std::shared_ptr<Run> begin(Run run)
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back(std::make_shared<Run>(std::move(run)));
        return m_runs.back();
    }

    /** A copy of all runs in the order of their starts. */
    std::vector<Run> runs()
    {
        const std::lock_guard lock(m_mutex);
        std::vector<Run> copy;
        for (const auto &run : m_runs) {
            copy.push_back(*run);
        }
        return copy;
    }

    std::mutex &mutex()
    {
        return m_mutex;
    }

    /**
     * From this time of the record on, no disturbance is near: then an end counts as taken note of 100 ms after a
     * minion has listed it (RULES, Acks), before only once `lastSeen` has reached it.
     */
    std::atomic<std::int64_t> calmFrom { 0 };

private:
    std::mutex m_mutex;
    std::vector<std::shared_ptr<Run>> m_runs;
};

struct MinionOptions
{
    std::string id;
    std::string service;
    std::string zone = "gabrovo";
    std::string kind = "a";
    std::string rack = "r1-1";
    std::int64_t cpu = 64'000;
    std::int64_t memMb = 256'000;
    std::int64_t holdMaxMs = 6000;
    std::int64_t heartbeatMs = 1500;
    /** Milliseconds that a task works. */
    std::function<std::int64_t(const std::string &task)> workMs;
    /** Whether starts need a ticket. */
    bool needsTicket = false;
};

/** One minion; crash() and restart() make a new life of it under the same id and at the same address. */
class Minion
{
public:
    Minion(MinionOptions options, Store &store, Truth &truth, Record &record)
        : m_options(std::move(options))
        , m_store(store)
        , m_truth(truth)
        , m_record(record)
        , m_server([this](const Request &request) { return handle(request); })
    {
    }

    void start(const std::string &ip)
    {
        m_ip = ip;
        m_server.listen(ip);
        beginLife();
        std::thread([this] {
            std::int64_t nextBeat = 0;
            while (true) {
                sleepMs(5);
                const std::lock_guard lock(m_mutex);
                advance();
                if (m_isUp && steadyMs() >= nextBeat) {
                    writeEntry();
                    nextBeat = steadyMs() + m_options.heartbeatMs;
                }
            }
        }).detach();
    }

    /** Ends everything that runs; nothing is answered any more. */
    void crash()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isUp = false;
            for (auto &[task, run] : m_running) {
                const std::lock_guard truthLock(m_truth.mutex());
                run->ended = m_record.now();
                run->how = "crash";
            }
            m_running.clear();
            m_changed.notify_all();
        }
        m_server.stop();
        m_record.line("minion %s crashes", m_options.id.c_str());
    }

    void restart(const std::string &kind)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_options.kind = kind;
            beginLife();
        }
        m_server.listen(m_ip, m_server.port());
        m_record.line("minion %s is up again as kind %s", m_options.id.c_str(), kind.c_str());
    }

    /** Messages with an epoch number of at least @p token don't reach the minion: their sender has lost the path. */
    void cutFrom(std::uint64_t token)
    {
        const std::lock_guard lock(m_mutex);
        m_cutFrom = token;
    }

    /** While it is cut off, its connections are reset; what runs on it runs on. */
    void setCut(bool isCut)
    {
        const std::lock_guard lock(m_mutex);
        m_isCut = isCut;
        m_changed.notify_all();
        m_record.line("minion %s is %s", m_options.id.c_str(), isCut ? "cut off" : "reachable again");
    }

    std::size_t runningCount()
    {
        const std::lock_guard lock(m_mutex);
        return m_running.size();
    }

    std::size_t unseenEnds()
    {
        const std::lock_guard lock(m_mutex);
        return m_ends.size();
    }

    const MinionOptions &options() const
    {
        return m_options;
    }

private:
    static constexpr std::size_t endsListed = 500;
    static constexpr std::int64_t notedAfterMs = 100;

    void beginLife()
    {
        m_isUp = true;
        m_bornSteady = steadyMs();
        m_born = wallMs();
        m_token = 0;
        m_deadline = 0;
        m_lastEnd = 0;
        m_seq = 0;
        m_running.clear();
        m_highest.clear();
        m_ends.clear();
        writeEntry();
    }

    std::int64_t clock() const
    {
        return steadyMs() - m_bornSteady;
    }

    void writeEntry()
    {
        const json entry { { "service", m_options.service },
                           { "address", m_server.address() },
                           { "zone", m_options.zone },
                           { "version", "v1" },
                           { "slots", 8 },
                           { "state", "ready" },
                           { "coldLeftMs", 0 },
                           { "capacity", { { "cpu", m_options.cpu }, { "memMb", m_options.memMb }, { "gpus", 0 } } },
                           { "labels", { m_options.kind, m_options.rack } },
                           { "clockMs", clock() },
                           { "born", m_born },
                           { "seq", ++m_seq } };
        m_store.put("servers/" + m_options.id, entry.dump());
    }

    void advance()
    {
        if (!m_isUp) {
            return;
        }
        const std::int64_t now = m_record.now();
        const bool isLapsed = clock() > m_deadline;
        if (isLapsed) {
            const std::lock_guard lock(m_truth.mutex());
            for (const auto &unseen : m_ends) {
                unseen->hasLapsed = unseen->hasLapsed || unseen->noted < 0;
            }
        }
        for (auto place = m_running.begin(); place != m_running.end();) {
            const std::shared_ptr<Run> run = place->second;
            const bool isDone = now >= run->begun + run->length;
            if (!isDone && !isLapsed) {
                ++place;
                continue;
            }
            place = m_running.erase(place);
            end(run, isDone ? "done" : "lapsed");
        }
    }

    void end(const std::shared_ptr<Run> &run, const std::string &how)
    {
        {
            const std::lock_guard lock(m_truth.mutex());
            run->ended = m_record.now();
            run->how = how;
            run->endNumber = ++m_lastEnd;
        }
        m_ends.push_back(run);
        m_changed.notify_all();
        m_record.line("minion %s: run %s/%u ends %s, as end %llu", m_options.id.c_str(), run->task.c_str(), run->number,
                      how.c_str(), static_cast<unsigned long long>(m_lastEnd));
    }

    Response answer(int status, json body = json::object())
    {
        body["clockMs"] = clock();
        body["born"] = m_born;
        return { status, body.dump() };
    }

    Response handle(const Request &request)
    {
        std::unique_lock lock(m_mutex);
        if (!m_isUp || m_isCut) {
            return { 0, "", Response::Kind::Reset };
        }
        if (request.method == "GET") {
            return answer(200);
        }
        const auto instance = request.headers.find("x-expected-instance");
        if (instance != request.headers.end() && instance->second != m_options.id) {
            return answer(421);
        }
        const json body = json::parse(request.body);
        const std::uint64_t token = body.value("fencingToken", std::uint64_t { 0 });
        if (m_cutFrom != 0 && token >= m_cutFrom) {
            return { 0, "", Response::Kind::Silent };
        }
        advance();
        if (token < m_token) {
            return answer(409, { { "reason", "fence" } });
        }
        m_token = token;
        const std::string path = request.path();
        if (path == "/currantring/run-start") {
            return startRun(body);
        }
        if (path == "/currantring/run-stop") {
            return stopRun(body);
        }
        if (path == "/currantring/hold") {
            return hold(body, lock);
        }
        return answer(200);
    }

    void extend(const json &body)
    {
        if (body.contains("deadlineMs")) {
            const std::int64_t wanted =
                std::min(body.at("deadlineMs").get<std::int64_t>(), clock() + m_options.holdMaxMs);
            m_deadline = std::max(m_deadline, wanted);
        }
    }

    Response startRun(const json &body)
    {
        const std::string task = body.at("task");
        const std::uint32_t number = body.at("run");
        if (const auto running = m_running.find(task);
            running != m_running.end() && running->second->number == number) {
            return answer(200);
        }
        if (clock() > body.at("deadlineMs").get<std::int64_t>()) {
            return answer(409, { { "reason", "late" } });
        }
        extend(body);
        if (number <= m_highest[task]) {
            return answer(409, { { "reason", "old" } });
        }
        if (m_options.needsTicket && body.value("ticket", std::string()).empty()) {
            return answer(409, { { "reason", "ticket" } });
        }
        Run run;
        run.task = task;
        run.number = number;
        run.minion = m_options.id;
        run.labels = m_options.kind;
        run.token = m_token;
        run.begun = m_record.now();
        run.length = m_options.workMs(task);
        m_record.line("minion %s (kind %s): run %s/%u starts on epoch number %llu", m_options.id.c_str(),
                      m_options.kind.c_str(), task.c_str(), number, static_cast<unsigned long long>(m_token));
        m_running[task] = m_truth.begin(std::move(run));
        m_highest[task] = number;
        return answer(200);
    }

    Response stopRun(const json &body)
    {
        const std::string task = body.at("task");
        const std::uint32_t number = body.at("run");
        m_highest[task] = std::max(m_highest[task], number);
        if (const auto running = m_running.find(task);
            running != m_running.end() && running->second->number <= number) {
            const std::shared_ptr<Run> run = running->second;
            m_running.erase(running);
            end(run, "stopped");
        }
        return answer(200);
    }

    Response hold(const json &body, std::unique_lock<std::mutex> &lock)
    {
        extend(body);
        const std::uint64_t seen = body.value("lastSeen", std::uint64_t { 0 });
        while (!m_ends.empty() && m_ends.front()->endNumber <= seen) {
            const std::lock_guard truthLock(m_truth.mutex());
            Run &run = *m_ends.front();
            run.noted = run.noted < 0 ? m_record.now() : run.noted;
            m_ends.pop_front();
        }
        const std::int64_t life = m_bornSteady;
        const auto until = Clock::now() + std::chrono::milliseconds(body.value("waitMs", 0));
        while (m_isUp && !m_isCut && m_bornSteady == life && m_ends.empty() && Clock::now() < until) {
            m_changed.wait_until(lock, until);
        }
        if (!m_isUp || m_isCut || m_bornSteady != life) {
            return { 0, "", Response::Kind::Reset };
        }
        json running = json::array();
        const std::int64_t now = m_record.now();
        for (const auto &[task, run] : m_running) {
            const std::int64_t percent =
                std::min<std::int64_t>((now - run->begun) * 100 / std::max<std::int64_t>(run->length, 1), 99);
            running.push_back({ task, run->number, "", percent, 50 });
        }
        json finished = json::array();
        for (const auto &run : m_ends) {
            if (finished.size() >= endsListed) {
                break;
            }
            finished.push_back({ run->endNumber, run->task, run->number, run->how, "" });
            if (now >= m_truth.calmFrom) {
                const std::lock_guard truthLock(m_truth.mutex());
                run->noted = run->noted < 0 ? now + notedAfterMs : run->noted;
            }
        }
        return answer(200, { { "running", running }, { "finished", finished } });
    }

    MinionOptions m_options;
    Store &m_store;
    Truth &m_truth;
    Record &m_record;
    Server m_server;
    std::string m_ip;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isUp = false;
    bool m_isCut = false;
    std::int64_t m_bornSteady = 0;
    std::int64_t m_born = 0;
    std::uint64_t m_token = 0;
    std::uint64_t m_cutFrom = 0;
    std::int64_t m_deadline = 0;
    std::uint64_t m_lastEnd = 0;
    std::uint64_t m_seq = 0;
    std::map<std::string, std::shared_ptr<Run>> m_running;
    std::map<std::string, std::uint32_t> m_highest;
    std::deque<std::shared_ptr<Run>> m_ends;
};

} // namespace review2
