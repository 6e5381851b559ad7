// Stand-ins of the platform's store and of the minions, the hosts as processes, and what was seen, for the cases 11 and
// up. All follow the users' pages; one lock guards all of them.
#pragma once

#include "http.hh"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <mutex>
#include <random>
#include <vector>

#include <nlohmann/json.hpp>

namespace review3 {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

inline std::string encode64(const std::string &bytes)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = static_cast<unsigned char>(bytes[i]) << 16U;
        value |= i + 1 < bytes.size() ? static_cast<unsigned char>(bytes[i + 1]) << 8U : 0U;
        value |= i + 2 < bytes.size() ? static_cast<unsigned char>(bytes[i + 2]) : 0U;
        out += digits[value >> 18U & 63U];
        out += digits[value >> 12U & 63U];
        out += i + 1 < bytes.size() ? digits[value >> 6U & 63U] : '=';
        out += i + 2 < bytes.size() ? digits[value & 63U] : '=';
    }
    return out;
}

inline std::string decode64(const std::string &text)
{
    std::string out;
    unsigned value = 0;
    int bits = 0;
    for (const char c : text) {
        int digit = -1;
        if (c >= 'A' && c <= 'Z') {
            digit = c - 'A';
        } else if (c >= 'a' && c <= 'z') {
            digit = c - 'a' + 26;
        } else if (c >= '0' && c <= '9') {
            digit = c - '0' + 52;
        } else if (c == '+' || c == '/') {
            digit = c == '+' ? 62 : 63;
        }
        if (digit < 0) {
            continue;
        }
        value = value << 6U | static_cast<unsigned>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            out += static_cast<char>(value >> static_cast<unsigned>(bits) & 255U);
        }
    }
    return out;
}

/** The lock, the clock and the record of one run. */
class World
{
public:
    explicit World(const std::string &path)
        : m_record(path, std::ios::trunc)
    {
    }

    [[nodiscard]] std::int64_t now() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_begin).count();
    }

    void note(const std::string &line)
    {
        const std::lock_guard lock(m_recordMutex);
        char time[32];
        std::snprintf(time, sizeof(time), "%9.3f s  ", static_cast<double>(now()) / 1000);
        m_record << time << line << std::endl;
    }

    std::mutex mutex;
    std::condition_variable changed;

private:
    Clock::time_point m_begin = Clock::now();
    std::mutex m_recordMutex;
    std::ofstream m_record;
};

/** The platform's store. Each host has a port of its own, so that the store can turn one away. */
class Store
{
public:
    explicit Store(World &world)
        : m_world(world)
    {
        std::thread([this] {
            for (;;) {
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
                const std::lock_guard lock(m_world.mutex);
                expireLeases();
            }
        }).detach();
    }

    struct Port
    {
        Server server;
        int number = 0;
        /** While set, requests get no answer and do nothing. */
        std::atomic<bool> isSilent { false };
        /** With this set as well, they get this status instead. */
        std::atomic<int> refusal { 0 };
        /** Writes under a condition that are to be carried out without an answer; then the port turns silent. */
        std::atomic<bool> losesNextPlacement { false };
        std::function<bool(const json &)> isPlacement;
    };

    Port &listen(const std::string &ip)
    {
        Port &port = *m_ports.emplace_back(std::make_unique<Port>());
        port.number = port.server.listen(ip, [this, &port](const Request &request) { return handle(port, request); });
        return port;
    }

    /** Precondition: the lock is held. */
    void put(const std::string &key, const std::string &value, std::uint64_t lease = 0)
    {
        Item &item = m_items[key];
        item.revision = ++m_revision;
        item.value = value;
        item.lease = lease;
        m_history.push_back({ m_revision, key, value, lease, false });
        m_world.changed.notify_all();
    }

    /** Precondition: the lock is held. */
    void erase(const std::string &key)
    {
        if (m_items.erase(key) != 0) {
            m_history.push_back({ ++m_revision, key, {}, 0, true });
            m_world.changed.notify_all();
        }
    }

    /** Precondition: the lock is held. */
    std::optional<std::string> get(const std::string &key) const
    {
        const auto found = m_items.find(key);
        return found == m_items.end() ? std::nullopt : std::optional(found->second.value);
    }

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t lease = 0;
    };
    struct Event
    {
        std::uint64_t revision;
        std::string key;
        std::string value;
        std::uint64_t lease;
        bool isDeleted;
    };
    struct Lease
    {
        std::int64_t ttl;
        std::int64_t until;
    };

    static json row(const std::string &key, const Item &item)
    {
        return { { "key", key }, { "value", encode64(item.value) }, { "revision", item.revision },
                 { "created", item.revision }, { "lease", item.lease } };
    }

    void expireLeases()
    {
        for (auto lease = m_leases.begin(); lease != m_leases.end();) {
            if (m_world.now() < lease->second.until) {
                ++lease;
                continue;
            }
            endLease(lease->first);
            lease = m_leases.erase(lease);
        }
    }

    void endLease(std::uint64_t lease)
    {
        std::vector<std::string> keys;
        for (const auto &[key, item] : m_items) {
            if (item.lease == lease) {
                keys.push_back(key);
            }
        }
        for (const std::string &key : keys) {
            erase(key);
        }
    }

    std::optional<Response> handle(Port &port, const Request &request)
    {
        if (port.isSilent) {
            return refuse(port);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
        std::optional<Response> response = carryOut(port, request);
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
        return port.isSilent ? std::nullopt : response;
    }

    static std::optional<Response> refuse(const Port &port)
    {
        return port.refusal == 0 ? std::nullopt : std::optional(Response { port.refusal, "{}" });
    }

    std::optional<Response> carryOut(Port &port, const Request &request)
    {
        std::unique_lock lock(m_world.mutex);
        expireLeases();
        const auto query = [&request](const char *name) {
            const auto found = request.query.find(name);
            return found == request.query.end() ? std::string() : found->second;
        };
        if (request.path == "/currantring/kv-key") {
            const auto found = m_items.find(query("key"));
            if (found == m_items.end()) {
                return Response { 404, "{}" };
            }
            json body = row(found->first, found->second);
            body["currentRev"] = m_revision;
            return Response { 200, body.dump() };
        }
        if (request.path == "/currantring/kv-range") {
            return list(query("prefix"), query("after"));
        }
        if (request.path == "/currantring/kv-watch") {
            return watch(lock, query("prefix"), std::stoull(query("after")), std::stoll(query("waitMs")));
        }
        if (request.path == "/currantring/kv-txn") {
            return commit(port, json::parse(request.body));
        }
        if (request.path == "/currantring/kv-lease") {
            const std::int64_t ttl = json::parse(request.body).at("ttlMs").get<std::int64_t>();
            m_leases[++m_lastLease] = { ttl, m_world.now() + ttl };
            return Response { 200, json { { "lease", m_lastLease }, { "ttlMs", ttl } }.dump() };
        }
        const std::uint64_t id = std::stoull(request.path.substr(request.path.rfind('/') + 1));
        const auto lease = m_leases.find(id);
        if (lease == m_leases.end()) {
            return Response { 404, "{}" };
        }
        if (request.method == "DELETE") {
            m_leases.erase(lease);
            endLease(id);
            return Response { 200, "{}" };
        }
        lease->second.until = m_world.now() + lease->second.ttl;
        return Response { 200, json { { "ttlMs", lease->second.ttl } }.dump() };
    }

    Response list(const std::string &prefix, const std::string &after) const
    {
        json items = json::array();
        bool hasMore = false;
        std::size_t bytes = 0;
        for (auto item = m_items.lower_bound(prefix); item != m_items.end() && item->first.starts_with(prefix); ++item) {
            if (!after.empty() && item->first <= after) {
                continue;
            }
            if (items.size() >= 500 || bytes > 1'000'000) {
                hasMore = true;
                break;
            }
            bytes += item->second.value.size();
            items.push_back(row(item->first, item->second));
        }
        return { 200,
                 json { { "items", std::move(items) }, { "morePages", hasMore }, { "currentRev", m_revision } }.dump() };
    }

    Response watch(std::unique_lock<std::mutex> &lock, const std::string &prefix, std::uint64_t after,
                   std::int64_t waitMs)
    {
        const auto until = Clock::now() + std::chrono::milliseconds(waitMs);
        for (;;) {
            json events = json::array();
            auto first = std::upper_bound(m_history.begin(), m_history.end(), after,
                                          [](std::uint64_t revision, const Event &e) { return revision < e.revision; });
            for (; first != m_history.end(); ++first) {
                if (!first->key.starts_with(prefix)) {
                    continue;
                }
                if (first->isDeleted) {
                    events.push_back({ { "key", first->key }, { "revision", first->revision }, { "deleted", true } });
                } else {
                    events.push_back(row(first->key, { first->value, first->revision, first->lease }));
                }
            }
            if (!events.empty() || Clock::now() >= until) {
                return { 200, json { { "events", std::move(events) }, { "currentRev", m_revision } }.dump() };
            }
            m_world.changed.wait_until(lock, until);
        }
    }

    std::optional<Response> commit(Port &port, const json &body)
    {
        bool holds = true;
        json current = json::array();
        for (const json &condition : body.value("expectedRev", json::array())) {
            const auto key = condition.at("key").get<std::string>();
            const auto found = m_items.find(key);
            holds = holds
                && (found == m_items.end() ? 0 : found->second.revision)
                    == condition.at("revision").get<std::uint64_t>();
            if (found != m_items.end()) {
                current.push_back(row(key, found->second));
            }
        }
        if (!holds) {
            return Response { 412, json { { "items", std::move(current) } }.dump() };
        }
        for (const json &set : body.value("setKeys", json::array())) {
            if (const auto lease = set.value("lease", std::uint64_t { 0 }); lease != 0 && !m_leases.contains(lease)) {
                return Response { 404, "{}" };
            }
        }
        // One transaction has one revision.
        const std::uint64_t revision = m_revision + 1;
        for (const json &set : body.value("setKeys", json::array())) {
            m_revision = revision - 1;
            put(set.at("key").get<std::string>(), decode64(set.at("value").get<std::string>()),
                set.value("lease", std::uint64_t { 0 }));
        }
        for (const json &key : body.value("deleteKeys", json::array())) {
            m_revision = revision - 1;
            erase(key.get<std::string>());
        }
        m_revision = revision;
        if (port.losesNextPlacement && port.isPlacement && port.isPlacement(body)) {
            port.losesNextPlacement = false;
            port.isSilent = true;
            m_world.note("the store carries out a write that places a task, and answers nothing from now on to this "
                         "host");
            return std::nullopt;
        }
        return Response { 200, json { { "revision", revision } }.dump() };
    }

    World &m_world;
    std::map<std::string, Item> m_items;
    std::vector<Event> m_history;
    std::map<std::uint64_t, Lease> m_leases;
    std::uint64_t m_lastLease = 1000;
    std::uint64_t m_revision = 10;
    std::vector<std::unique_ptr<Port>> m_ports;
};

/** What a task does on a minion, apart from stops, leases and gangs. */
struct Work
{
    std::int64_t ms = 100;
    bool isFailing = false;
};

/** A run at a minion. */
struct Run
{
    std::string task;
    std::uint64_t number = 0;
    std::string minion;
    std::int64_t startedAt = 0;
    /** -1 while it runs. */
    std::int64_t endedAt = -1;
    std::string how;
    std::uint64_t token = 0;
};

/** All runs at all minions, in the order of their starts. */
class Truth
{
public:
    std::vector<Run> runs;
    /** Members by step (ID.K.STEP) of the gangs. */
    std::map<std::string, std::size_t> gangs;
};

class Minion
{
public:
    struct Options
    {
        std::string id;
        std::string service;
        std::string rack = "r1";
        std::int64_t cpu = 8000;
        std::int64_t memMb = 32'768;
        int beatMs = 500;
        std::int64_t stopMs = 50;
        std::int64_t holdMaxMs = 6000;
        std::function<Work(const std::string &task, std::uint64_t run)> work;
    };

    Minion(World &world, Store &store, Truth &truth, Options options)
        : m_world(world)
        , m_store(store)
        , m_truth(truth)
        , m_options(std::move(options))
    {
    }

    void start(const std::string &ip)
    {
        m_born = std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count();
        m_bornAt = m_world.now();
        const int port = m_server.listen(ip, [this](const Request &request) { return handle(request); });
        m_address = ip + ":" + std::to_string(port);
        std::thread([this] {
            for (;;) {
                {
                    const std::lock_guard lock(m_world.mutex);
                    beat();
                }
                std::this_thread::sleep_for(std::chrono::milliseconds(m_options.beatMs));
            }
        }).detach();
        std::thread([this] {
            for (;;) {
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
                const std::lock_guard lock(m_world.mutex);
                advance();
            }
        }).detach();
    }

    /** While this returns true for an order's token, the path of its sender is cut: nothing arrives. */
    std::function<bool(std::uint64_t token)> isCutFrom;

    [[nodiscard]] const std::string &id() const
    {
        return m_options.id;
    }

private:
    struct End
    {
        std::uint64_t number;
        std::string task;
        std::uint64_t run;
        std::string how;
    };

    [[nodiscard]] std::int64_t clock() const
    {
        return m_world.now() - m_bornAt;
    }

    void beat()
    {
        m_store.put("servers/" + m_options.id,
                    json { { "service", m_options.service },
                           { "address", m_address },
                           { "zone", "here" },
                           { "version", "v1" },
                           { "slots", 8 },
                           { "state", "ready" },
                           { "coldLeftMs", 0 },
                           { "capacity", { { "cpu", m_options.cpu }, { "memMb", m_options.memMb }, { "gpus", 0 } } },
                           { "labels", { "a", m_options.rack } },
                           { "clockMs", clock() },
                           { "born", m_born },
                           { "seq", ++m_beats } }
                        .dump());
    }

    static std::string stepOf(const std::string &task)
    {
        return task.substr(0, task.rfind('.'));
    }

    void finish(std::size_t index, const std::string &how)
    {
        Run &run = m_truth.runs[index];
        run.endedAt = m_world.now();
        run.how = how;
        m_ends.push_back({ ++m_lastEnd, run.task, run.number, how });
        m_world.note(m_options.id + " ends " + run.task + " run " + std::to_string(run.number) + ": " + how);
        std::uint64_t &highest = m_closed[run.task];
        highest = std::max(highest, run.number);
        m_live.erase(run.task);
        m_stopping.erase(run.task);
        m_world.changed.notify_all();
    }

    void advance()
    {
        if (!m_live.empty() && clock() > m_leaseUntil) {
            for (const auto &[task, index] : std::map<std::string, std::size_t>(m_live)) {
                finish(index, "lapsed");
            }
            return;
        }
        for (const auto &[task, index] : std::map<std::string, std::size_t>(m_live)) {
            const Run &run = m_truth.runs[index];
            const auto stopping = m_stopping.find(task);
            if (stopping != m_stopping.end()) {
                if (m_world.now() >= stopping->second) {
                    finish(index, "stopped");
                }
                continue;
            }
            const Work work = m_options.work(task, run.number);
            const auto gang = m_truth.gangs.find(stepOf(task));
            std::int64_t since = run.startedAt;
            if (gang != m_truth.gangs.end() && !work.isFailing) {
                std::size_t present = 0;
                bool isBroken = false;
                bool isDone = false;
                std::int64_t last = 0;
                for (const Run &other : m_truth.runs) {
                    if (stepOf(other.task) == gang->first && other.number == run.number) {
                        ++present;
                        last = std::max(last, other.startedAt);
                        isDone = isDone || other.how == "done";
                        isBroken = isBroken || (other.endedAt >= 0 && other.how != "done");
                    }
                }
                if (isDone || isBroken) {
                    finish(index, isDone ? "done" : "broken");
                    continue;
                }
                if (present < gang->second) {
                    if (m_world.now() - run.startedAt > 3000) {
                        finish(index, "alone");
                    }
                    continue;
                }
                since = last;
            }
            if (m_world.now() - since >= work.ms) {
                finish(index, work.isFailing ? "failed" : "done");
            }
        }
    }

    std::optional<Response> handle(const Request &request)
    {
        if (request.path == "/health") {
            return Response { 200, "{}" };
        }
        const json body = json::parse(request.body);
        const auto token = body.value("fencingToken", std::uint64_t { 0 });
        std::unique_lock lock(m_world.mutex);
        if (isCutFrom && isCutFrom(token)) {
            return std::nullopt;
        }
        if (const auto wanted = request.headers.find("x-expected-instance");
            wanted != request.headers.end() && wanted->second != m_options.id) {
            return Response { 421, "{}" };
        }
        advance();
        if (token < m_token) {
            return refuse("fence");
        }
        m_token = token;
        if (request.path == "/currantring/hold") {
            return hold(lock, body, token);
        }
        const auto task = body.at("task").get<std::string>();
        const auto number = body.at("run").get<std::uint64_t>();
        if (request.path == "/currantring/run-start") {
            return startRun(task, number, token, body.at("deadlineMs").get<std::int64_t>());
        }
        if (request.path == "/currantring/run-stop") {
            const auto live = m_live.find(task);
            if (live != m_live.end() && m_truth.runs[live->second].number == number) {
                m_world.note(m_options.id + " is told to stop " + task + " run " + std::to_string(number) + " with token "
                             + std::to_string(token));
                m_stopping.try_emplace(task, m_world.now() + m_options.stopMs);
            }
            std::uint64_t &highest = m_closed[task];
            highest = std::max(highest, number);
            return answer();
        }
        return answer();
    }

    std::optional<Response> startRun(const std::string &task, std::uint64_t number, std::uint64_t token,
                                     std::int64_t deadline)
    {
        if (clock() > deadline) {
            return refuse("late");
        }
        m_leaseUntil = std::max(m_leaseUntil, std::min(deadline, clock() + m_options.holdMaxMs));
        const auto live = m_live.find(task);
        if (live != m_live.end() && m_truth.runs[live->second].number == number) {
            return answer();
        }
        const auto closed = m_closed.find(task);
        if (live != m_live.end() || (closed != m_closed.end() && number <= closed->second)) {
            return refuse("old");
        }
        m_truth.runs.push_back({ task, number, m_options.id, m_world.now(), -1, {}, token });
        m_live[task] = m_truth.runs.size() - 1;
        m_world.note(m_options.id + " starts " + task + " run " + std::to_string(number) + " on an order with token "
                     + std::to_string(token));
        return answer();
    }

    std::optional<Response> hold(std::unique_lock<std::mutex> &lock, const json &body, std::uint64_t token)
    {
        if (body.contains("deadlineMs")) {
            m_leaseUntil = std::max(m_leaseUntil,
                                    std::min(body.at("deadlineMs").get<std::int64_t>(), clock() + m_options.holdMaxMs));
        }
        const auto seen = body.value("lastSeen", std::uint64_t { 0 });
        std::erase_if(m_ends, [seen](const End &end) { return end.number <= seen; });
        const auto until = Clock::now() + std::chrono::milliseconds(body.value("waitMs", 0));
        while (m_ends.empty() && Clock::now() < until) {
            m_world.changed.wait_until(lock, until);
        }
        if (isCutFrom && isCutFrom(token)) {
            return std::nullopt;
        }
        json running = json::array();
        for (const auto &[task, index] : m_live) {
            const Run &run = m_truth.runs[index];
            const std::int64_t work = std::max<std::int64_t>(m_options.work(task, run.number).ms, 1);
            const std::int64_t percent = std::min<std::int64_t>((m_world.now() - run.startedAt) * 100 / work, 99);
            running.push_back({ task, run.number, "", percent, 0 });
        }
        json finished = json::array();
        for (const End &end : m_ends) {
            if (finished.size() < 500) {
                finished.push_back({ end.number, end.task, end.run, end.how, "" });
            }
        }
        return Response { 200,
                          json { { "clockMs", clock() },
                                 { "born", m_born },
                                 { "running", std::move(running) },
                                 { "finished", std::move(finished) } }
                              .dump() };
    }

    [[nodiscard]] Response answer() const
    {
        return { 200, json { { "clockMs", clock() }, { "born", m_born } }.dump() };
    }

    [[nodiscard]] Response refuse(const char *reason) const
    {
        return { 409, json { { "clockMs", clock() }, { "born", m_born }, { "reason", reason } }.dump() };
    }

    World &m_world;
    Store &m_store;
    Truth &m_truth;
    Options m_options;
    Server m_server;
    std::string m_address;
    std::int64_t m_born = 0;
    std::int64_t m_bornAt = 0;
    std::int64_t m_leaseUntil = 0;
    std::uint64_t m_token = 0;
    std::uint64_t m_lastEnd = 0;
    int m_beats = 0;
    /** Runs by task: their place in the truth. */
    std::map<std::string, std::size_t> m_live;
    std::map<std::string, std::int64_t> m_stopping;
    /** The highest run of each task that was stopped or has ended here. */
    std::map<std::string, std::uint64_t> m_closed;
    std::vector<End> m_ends;
};

/** An entry host: the project's program with a settings file. */
class Host
{
public:
    Host(World &world, std::string name, std::string ip, double cpuShare, int storePort, std::string folder)
        : m_world(world)
        , m_name(std::move(name))
        , m_ip(std::move(ip))
        , m_folder(std::move(folder))
    {
        m_front = freePort(m_ip);
        m_ready = freePort(m_ip);
        int peers = freePort(m_ip);
        std::ofstream boot(m_folder + "/" + m_name + ".toml");
        boot << "nodeName = \"" << m_name << "\"\nrole = \"entry\"\nmachineClass = \"edge\"\nserves = [\"edge\"]\n"
             << "ip = \"" << m_ip << "\"\nzone = \"here\"\nregion = \"there\"\nportRange = [" << peers << "," << peers
             << "]\nbootstrap = true\nheartbeatMs = 500\norders = \"call\"\n[listen]\nfront = \"" << m_ip << ":"
             << m_front << "\"\nready = \"" << m_ip << ":" << m_ready << "\"\ncontrol = \"" << m_ip << ":"
             << freePort(m_ip) << "\"\n[limits]\ncpuShare = " << cpuShare
             << "\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\n[bounds]\ngraceS = 6\nholdMaxMs = 6000\nstatus_s = 120\n"
             << "farX = 3\nharmMs = 4000\n[platform]\naddress = \"127.0.0.1:" << storePort
             << "\"\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\nvalueBytes = 1048576\nttlMinMs = 1000\n";
    }

    void start()
    {
        const std::string boot = m_folder + "/" + m_name + ".toml";
        const std::string log = m_folder + "/" + m_name + ".log";
        m_pid = ::fork();
        if (m_pid == 0) {
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::setenv("CURRANTRING_BOOT", boot.c_str(), 1);
            ::execl("target/bin/currantring-sited", "target/bin/currantring-sited", "--charts", "charts", nullptr);
            ::_exit(127);
        }
        m_world.note("host " + m_name + " is started");
    }

    void signal(int number, const char *what)
    {
        m_world.note("host " + m_name + " " + what);
        ::kill(m_pid, number);
    }

    /** Waits for its end, and ends it if that takes longer. */
    void wait(int ms)
    {
        for (int waited = 0; m_pid > 0 && waited < ms; waited += 20) {
            if (::waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
                m_pid = 0;
                return;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        end();
    }

    void end()
    {
        if (m_pid > 0) {
            ::kill(m_pid, SIGKILL);
            ::waitpid(m_pid, nullptr, 0);
            m_pid = 0;
        }
    }

    [[nodiscard]] bool isReady() const
    {
        return review3::call(m_ip, m_ready, "GET", "/currantring/readiness", m_ip, {}, 500).status == 200;
    }

    Response ask(const std::string &method, const std::string &path, const std::string &body = {}) const
    {
        const Response response = review3::call(m_ip, m_front, method, path, "jobs.example", body, 3000);
        m_world.note("a requester sends " + method + " " + path + " to " + m_name + ": "
                     + (response.status == 0 ? "no answer" : std::to_string(response.status)) + " " + response.body);
        return response;
    }

    [[nodiscard]] const std::string &name() const
    {
        return m_name;
    }

private:
    World &m_world;
    std::string m_name;
    std::string m_ip;
    std::string m_folder;
    int m_front = 0;
    int m_ready = 0;
    pid_t m_pid = 0;
};

inline json queue(const char *name, const char *prefix, int maxAttempts)
{
    return { { "name", name },           { "host", "jobs.example" }, { "prefix", prefix },
             { "kind", "unsafe" },       { "timeoutMs", 3000 },      { "targetLatencyMs", 1000 },
             { "priority", 0 },          { "service", "desk" },      { "maxAttempts", maxAttempts },
             { "stretch", 2.0 } };
}

inline std::string configuration(int version, json routes)
{
    return json { { "version", version },
                  { "routes", std::move(routes) },
                  { "services", { { { "name", "desk" }, { "rejectsOverload", false }, { "standby", false } } } },
                  { "limits",
                    { { "maxHeaderBytes", 16'384 },
                      { "maxBodyBytes", 262'144 },
                      { "headerTimeoutMs", 3000 },
                      { "idleTimeoutMs", 15'000 } } } }
        .dump();
}

/** A site of a few hosts and minions in a temporary folder. Run from the repository's root. */
class Site
{
public:
    explicit Site(const std::string &recordPath)
        : world(recordPath)
        , store(world)
    {
        char name[] = "/tmp/review-3-XXXXXX";
        folder = ::mkdtemp(name);
    }

    ~Site()
    {
        for (const auto &host : hosts) {
            host->end();
        }
        if (std::getenv("KEEP_LOGS") == nullptr) {
            const std::string command = "rm -rf " + folder;
            static_cast<void>(!std::system(command.c_str()));
        } else {
            std::printf("logs in %s\n", folder.c_str());
        }
    }

    void addHost(const std::string &name, double cpuShare)
    {
        ports.push_back(&store.listen("127.0.0.1"));
        hosts.push_back(std::make_unique<Host>(world, name, net + std::to_string(11 + hosts.size()), cpuShare,
                                               ports.back()->number, folder));
    }

    void addMinion(Minion::Options options)
    {
        minions.push_back(std::make_unique<Minion>(world, store, truth, std::move(options)));
        minions.back()->start("127.0.0.1");
    }

    void configure(const std::string &text)
    {
        const std::lock_guard lock(world.mutex);
        store.put("op/config", text);
        world.note("the operator writes configuration " + std::to_string(json::parse(text).at("version").get<int>()));
    }

    /** Starts all hosts; false when one isn't ready in 15 s. */
    bool begin()
    {
        for (const auto &host : hosts) {
            host->start();
        }
        return waitFor(15'000, [this] {
            return std::ranges::all_of(hosts, [](const auto &host) { return host->isReady(); });
        });
    }

    bool waitFor(int ms, const std::function<bool()> &isTrue) const
    {
        const std::int64_t until = world.now() + ms;
        while (world.now() < until) {
            if (isTrue()) {
                return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        return false;
    }

    /** The host that holds the claim in the store; null when there is none. */
    Host *writer()
    {
        const std::lock_guard lock(world.mutex);
        const auto claim = store.get("currantring/writer/0/claim");
        const std::string name = claim ? json::parse(*claim).at("host").get<std::string>() : std::string();
        for (const auto &host : hosts) {
            if (host->name() == name) {
                return host.get();
            }
        }
        return nullptr;
    }

    /** Runs of the tasks whose names begin with @p prefix. */
    std::vector<Run> runsOf(const std::string &prefix)
    {
        const std::lock_guard lock(world.mutex);
        std::vector<Run> found;
        for (const Run &run : truth.runs) {
            if (run.task.starts_with(prefix)) {
                found.push_back(run);
            }
        }
        return found;
    }

    World world;
    Store store;
    Truth truth;
    std::string folder;
    /** The hosts' loopback addresses differ from those of other sites that run at the same time. */
    std::string net =
        "127." + std::to_string(1 + std::random_device()() % 250) + "." + std::to_string(std::random_device()() % 250) + ".";
    std::vector<Store::Port *> ports;
    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<std::unique_ptr<Minion>> minions;
};

inline void sleepMs(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/** Disturbances are left out with TROUBLE=0. */
inline bool hasTrouble()
{
    const char *const text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

/** Threads of the stand-ins run until the process ends, so it ends here. */
inline int end(Site &site, int code)
{
    site.world.note("exit " + std::to_string(code));
    for (const auto &host : site.hosts) {
        host->end();
    }
    if (std::getenv("KEEP_LOGS") == nullptr) {
        const std::string command = "rm -rf " + site.folder;
        static_cast<void>(!std::system(command.c_str()));
    } else {
        std::printf("logs in %s\n", site.folder.c_str());
    }
    std::fflush(nullptr);
    std::_Exit(code);
}

} // namespace review3
