#pragma once

#include "context.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <variant>

namespace currantring {

/** A store call has ended. */
struct StoreDone
{
    CallId call;
    StoreResult result;
};

/** A worker call has ended. */
struct WorkerDone
{
    CallId call;
    WorkerResult result;
};

/** An endpoint call has ended. */
struct EndpointDone
{
    CallId call;
    EndpointResult result;
};

/** A caller has sent a whole request. */
struct CallerArrived
{
    CallerToken caller;
    CallerRequest request;
};

/** A caller has hung up or waits no longer. */
struct CallerGone
{
    CallerToken caller;
};

/** A peer has sent a message. */
struct PeerArrived
{
    HostId from;
    PeerMessage message;
};

/** The link to a peer has broken. */
struct PeerGone
{
    HostId peer;
};

/** The process was asked to stop. */
struct StopAsked
{
};

using Input =
    std::variant<StoreDone, WorkerDone, EndpointDone, CallerArrived, CallerGone, PeerArrived, PeerGone, StopAsked>;

/** The two clocks read together. */
struct ClockReading
{
    TimePoint now;
    WallTime wallNow;
};

/** Reads the machine's clocks. Thread safety: reentrant. */
ClockReading readMachineClock();

/**
 * The one thread in which all decisions are made: takes inputs in order, advances the Context, carries out actions.
 *
 * Thread safety: post and offer from any thread; turn and run from the one loop thread.
 */
class DecisionLoop
{
public:
    /** What the loop calls, always in the loop thread. */
    struct Hooks
    {
        std::function<ClockReading()> clock;
        std::function<void(Input &)> input;
        std::function<void(Action &)> action;
        /** Runs after the inputs and actions of one turn. */
        std::function<void()> turned;
    };

    /** Precondition: @p context outlives the loop, and all hooks are set. */
    DecisionLoop(Context &context, Hooks hooks);

    /** Adds an input that must not be lost; false when the loop is closed. */
    bool post(Input input);
    /** Adds an input unless @p bound inputs wait already or the loop is closed; false when it was dropped. */
    [[nodiscard]] bool offer(Input input, std::size_t bound);

    /**
     * Waits for an input or a due timer, at most @p longest, and handles what is there. False after an ExitAction;
     * the actions that came before and with it are carried out.
     */
    bool turn(Milliseconds longest);
    /** Turns until an ExitAction. */
    void run();
    /** Takes no further inputs, and gives those back that were never handled. */
    std::deque<Input> close();

private:
    std::deque<Input> takeInputs(Milliseconds longest);
    void advance();
    void carryOutActions();

    Context &m_context;
    const Hooks m_hooks;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<Input> m_inputs;
    bool m_closed = false;
    bool m_exiting = false;
};

} // namespace currantring
