#pragma once

#include "record.hh"
#include "store.hh"
#include "worker.hh"

#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

namespace review {

/** One entry host: a process of the deploy file's command on a loopback address of its own. */
class EntryHost
{
public:
    EntryHost(std::size_t number, const std::string &storeAddress, Record &record);
    ~EntryHost();

    /** Writes the settings file anew; the address of the advice service may be empty. */
    void writeSettings(const std::string &advice);
    void start();
    void signal(int number);
    /** Waits for the end of the process; false when it still runs after @p boundMs. */
    bool waitForEnd(std::int64_t boundMs);
    [[nodiscard]] bool isRunning();
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] const std::string &name() const;
    [[nodiscard]] const std::string &front() const;

private:
    std::string m_name;
    std::string m_ip;
    std::string m_front;
    std::string m_ready;
    int m_peerPort = 0;
    std::string m_store;
    std::string m_settings;
    std::string m_log;
    Record &m_record;
    pid_t m_process = -1;
};

/** A queue of the configuration. */
struct Queue
{
    std::string name;
    std::string prefix;
    std::string service;
    std::uint32_t attempts = 4;
    /** The queue's `advice`; null when it has none. */
    nlohmann::json advice = nullptr;
};

/** A small deployment: store, workers, three entry hosts; ends all of it when it is left. */
class Site
{
public:
    explicit Site(const std::string &folder, std::size_t hosts = 3);
    ~Site();

    Worker &addWorker(WorkerOptions options);
    void configure(std::uint64_t version, const std::vector<Queue> &queues, const std::vector<std::string> &services);
    /** Starts the hosts and waits until all are ready; false when they aren't in time. */
    bool startHosts();
    /** The host that holds the writer's claim; null when none of them does. */
    EntryHost *writer();
    bool waitUntil(std::int64_t boundMs, const std::function<bool()> &holds) const;
    /** Submits a job through @p host, again as the protocol allows it; false when it is never accepted. */
    bool submit(EntryHost &host, const Queue &queue, const std::string &id, const nlohmann::json &job);
    /** The status and the body's `state` of a GET. */
    std::pair<int, std::string> state(EntryHost &host, const Queue &queue, const std::string &id);

    Record record;
    Truth truth;
    Store store;
    std::vector<std::unique_ptr<EntryHost>> hosts;
    std::vector<std::unique_ptr<Worker>> workers;
};

/** Exit codes of a case. */
enum : int { RuleHeld = 0, RuleBroken = 1, CouldNotRun = 2 };

/** Ends the hosts and this program with @p code, without waiting for threads that serve connections. */
[[noreturn]] void leave(Site &site, int code, const std::string &why);

} // namespace review
