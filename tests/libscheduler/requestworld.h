#pragma once

#include "requestrouter.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace currantring {

/** What a fake endpoint does with one request. */
enum class Deed {
    /** Runs it and answers after the delay. */
    Answer,
    /** Runs it; the answer is cut short or the connection breaks after the delay. */
    RunAndBreak,
    /** Doesn't run it, but nobody can tell. */
    BreakUnrun,
    /** Runs it and answers with another request's id. */
    AnswerWrongId,
    /** Runs it and answers twice. */
    AnswerTwice,
    Refuse,
    NotSend,
};

struct Script
{
    Deed deed = Deed::Answer;
    Milliseconds delay { 10 };
    RefusalReason reason = RefusalReason::None;
};

/** A caller's call and what came of it. */
struct Outcome
{
    int replies = 0;
    CallerReply reply;
    TimePoint at;

    [[nodiscard]] std::string reason() const;
};

/** Hosts with routers, fake endpoints and links between the hosts, in virtual time. */
class RequestWorld
{
public:
    explicit RequestWorld(std::uint64_t seed = 1, const std::string &settings = {});
    ~RequestWorld();

    RequestRouter &addHost(const std::string &name);
    RequestRouter &host(const std::string &name);
    /** The host is gone: its peers hear no more of it, and messages to it are lost. */
    void dropHost(const std::string &name);
    void addWorker(const std::string &host, const std::string &worker, std::uint32_t slots = 8, bool fresh = true,
                   std::uint64_t epoch = 1);
    WorkerInfo info(const std::string &worker, WorkerState state = WorkerState::Live) const;
    WorkerReport report(const std::string &worker, bool leaving = false) const;
    /** The next requests at @p worker go by @p scripts, later ones by @p usual. */
    void script(const std::string &worker, std::deque<Script> scripts, Script usual = {});

    /** Starts a call; the outcome is filled in while the world runs. */
    const Outcome &call(const std::string &host, const std::string &request, bool idempotent,
                        Milliseconds timeout = Milliseconds(1000), const std::string &owner = "alder");
    void run(Milliseconds duration);
    /** Runs until each host trusts its homes. */
    void settle();
    /** Lets the replies between hosts get lost. */
    void loseReplies(bool lose);

    [[nodiscard]] int runs(const std::string &request) const;
    [[nodiscard]] int sends(const std::string &worker) const;
    [[nodiscard]] int counted(const std::string &name, const std::string &reason = {}) const;
    [[nodiscard]] int logged(const std::string &event) const;
    /** Highest number of requests that a fake worker had beyond its slots. */
    [[nodiscard]] std::uint32_t overcommitted() const;

    Context context;

private:
    struct Worker
    {
        std::uint32_t slots = 8;
        std::uint32_t active = 0;
        std::uint64_t epoch = 1;
        int sends = 0;
        std::deque<Script> scripts;
        Script usual;
    };

    void at(Milliseconds delay, std::function<void()> event);
    void drainActions();
    void serve(const EndpointCallAction &action);
    void execute(Worker &worker, const EndpointRequest &request, Milliseconds duration);
    void exchangeRooms();

    Configuration m_configuration;
    std::map<std::string, std::unique_ptr<RequestRouter>> m_hosts;
    std::map<std::string, bool> m_gone;
    std::map<std::string, Worker> m_workers;
    std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> m_events;
    std::uint64_t m_lastEvent = 0;
    std::deque<Outcome> m_outcomes;
    std::map<std::string, int> m_runs;
    std::map<std::string, int> m_counts;
    std::map<std::string, int> m_logs;
    std::uint32_t m_overcommitted = 0;
    bool m_loseReplies = false;
    TimePoint m_nextExchange {};
};

} // namespace currantring
