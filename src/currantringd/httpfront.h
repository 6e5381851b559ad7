#pragma once

#include "callerapi.h"
#include "decisionloop.h"
#include "limitedserver.h"
#include "metrics.h"
#include "replyboard.h"
#include "thread.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <random>
#include <string>

namespace currantring {

/** What the loop thread last said of the host, for the HTTP threads. Thread safety: any thread. */
class HealthBoard
{
public:
    void set(bool healthy, std::string state);
    [[nodiscard]] bool isHealthy() const;
    [[nodiscard]] std::string state() const;

private:
    mutable std::mutex m_mutex;
    bool m_healthy = false;
    std::string m_state;
};

/**
 * The HTTP listeners for callers and for operators: reads requests, waits for the loop's replies, writes answers.
 *
 * Thread safety: listen, start and stop from the owning thread; the handlers run in the servers' threads.
 */
class HttpFront
{
public:
    struct Options
    {
        HostId host;
        std::string callers;
        std::string operators;
        ConnectionLimits limits;
        /** Wait for a request that brings no time of its own. */
        Milliseconds longestCall { 60'000 };
        /** Wait for the answer to anything but a call to a service. */
        Milliseconds longestWait { 10'000 };
    };

    /** What the front works with; all must outlive it. */
    struct Parts
    {
        ReplyBoard &replies;
        HealthBoard &health;
        Metrics &metrics;
        /** Sets the gauges that are read when they are asked for. */
        std::function<void()> refreshGauges;
        std::function<void(Input)> post;
    };

    HttpFront(Options options, Parts parts);
    /** Stops as stop() does. */
    ~HttpFront();
    HttpFront(const HttpFront &) = delete;
    HttpFront &operator=(const HttpFront &) = delete;

    /** Binds both addresses; findings name the flag whose address can't be used. */
    [[nodiscard]] Findings listen();
    /** Serves in threads of its own. Precondition: listen() gave no findings. */
    void start();
    /** Lets requests in flight finish and ends the threads. Repeating it does nothing. */
    void stop();
    /** Connections that are being served. */
    [[nodiscard]] std::size_t connections() const;

private:
    using TaskParser = ParsedRequest (*)(const std::string &task, std::string_view body);

    void routeCallers();
    void routeOperators();
    void routeReads(LimitedServer &server);
    void routeTask(LimitedServer &server, const std::string &verb, TaskParser parse);
    void routeHealth(LimitedServer &server);
    void setUpErrors(LimitedServer &server);
    void serveCall(const httplib::Request &request, httplib::Response &response);
    void serve(ParsedRequest request, httplib::Response &response);
    [[nodiscard]] Milliseconds waitFor(const CallerRequest &request) const;
    RequestId makeRequestId();

    const Options m_options;
    Parts m_parts;
    const std::string m_processTag = std::to_string(std::random_device {}());
    std::atomic<std::uint64_t> m_lastRequest = 0;
    LimitedServer m_callers;
    LimitedServer m_operators;
    Thread m_callerThread;
    Thread m_operatorThread;
    bool m_started = false;
};

} // namespace currantring
