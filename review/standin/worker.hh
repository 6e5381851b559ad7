#pragma once

#include "advice.hh"
#include "httpport.hh"
#include "record.hh"
#include "store.hh"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

/** One run of a task, as the workers saw it. */
struct SeenRun
{
    std::string task;
    std::uint32_t number = 0;
    std::string worker;
    std::uint64_t token = 0;
    std::int64_t startedAt = 0;
    /** Negative while it runs. */
    std::int64_t endedAt = -1;
    std::string how;
    std::string spec;
    /** The worker's kind when it started. */
    std::string kind;
};

/** What all workers of a site saw; thread-safe. */
class Truth
{
public:
    std::size_t begin(SeenRun run);
    void end(std::size_t index, const std::string &how);
    [[nodiscard]] std::vector<SeenRun> runs() const;
    /** The runs of one task, such as "ID.0.1.0"; of all tasks that begin so, when it ends with a dot. */
    [[nodiscard]] std::vector<SeenRun> runsOf(const std::string &task) const;

private:
    mutable std::mutex m_mutex;
    std::vector<SeenRun> m_runs;
};

struct WorkerOptions
{
    std::string id;
    std::string service;
    std::int64_t millicores = 8000;
    std::int64_t mebibytes = 16384;
    std::string kind = "a";
    std::string rack = "r1";
};

/**
 * One minion: runs tasks under a lease, and writes its entry into the store.
 *
 * A job's `spec` tells it how long a task takes: "ms=N". A task that lasts has "lasts".
 */
class Worker
{
public:
    Worker(WorkerOptions options, Store &store, Truth &truth, Record &record);
    ~Worker();

    /** Starts a life of the worker at the address that it had before. */
    void begin();
    /** Ends the process: all that runs ends, and nothing answers any more. */
    void crash();
    /** Takes the machine's power: all that runs ends, and nothing answers, also not by closing a connection. */
    void losePower();
    /** To be called between two lives. */
    void setOptions(WorkerOptions options);
    [[nodiscard]] const WorkerOptions &options() const;
    /** While set, each run that starts here ends `failed` at once. */
    void setFailing(bool isFailing);
    /** While cut off, no call arrives and no answer leaves; what runs here goes on. */
    void setCutOff(bool isCutOff);
    /** Calls are carried out when they arrive, and answered so much later. */
    void setAnswerDelay(std::int64_t delayMs);
    /** From now on each start needs a ticket of @p advice. */
    void requireTickets(Advice &advice);

private:
    struct Run
    {
        std::uint32_t number = 0;
        std::size_t seen = 0;
        std::int64_t startedAt = 0;
        /** Negative for a task that lasts. */
        std::int64_t durationMs = 0;
    };

    HttpReply handle(const HttpRequest &request);
    HttpReply carryOut(const HttpRequest &request);
    [[nodiscard]] bool isSilentFor(const HttpRequest &request) const;
    HttpReply start(const nlohmann::json &body);
    HttpReply stop(const nlohmann::json &body);
    HttpReply hold(const nlohmann::json &body, std::unique_lock<std::mutex> &lock);
    [[nodiscard]] nlohmann::json lists() const;
    HttpReply refuse(const std::string &reason) const;
    void endLife(const std::string &why);
    void extendLease(const nlohmann::json &body);
    void tick();
    void finish(std::string task, const std::string &how);
    void writeEntry();
    [[nodiscard]] std::int64_t clock() const;

    WorkerOptions m_options;
    Store &m_store;
    Truth &m_truth;
    Record &m_record;
    HttpPort m_port;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isAlive = false;
    bool m_isFailing = false;
    bool m_isCutOff = false;
    std::int64_t m_answerDelayMs = 0;
    Advice *m_advice = nullptr;
    std::uint64_t m_life = 0;
    std::int64_t m_born = 0;
    std::int64_t m_bornSteady = 0;
    std::int64_t m_clockOffset = 0;
    std::uint64_t m_token = 0;
    std::int64_t m_leaseUntil = 0;
    std::map<std::string, Run> m_running;
    /** The highest run that was stopped or has ended here, by task. */
    std::map<std::string, std::uint32_t> m_over;
    std::vector<nlohmann::json> m_ended;
    std::uint64_t m_lastEnd = 0;
    std::uint64_t m_sequence = 0;
    std::thread m_ticker;
};

} // namespace review
