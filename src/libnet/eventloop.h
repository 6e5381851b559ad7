#pragma once

#include "filedescriptor.h"
#include "units.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace currantring {

/**
 * Waits for sockets, timers and posted work on one thread.
 *
 * Thread safety: post() and quit() from any thread, all else from the thread that calls run(), or before run().
 * A round is one wait and the work that it brought.
 */
class EventLoop
{
public:
    using Clock = std::chrono::steady_clock;
    /** Gets the epoll events that are ready. */
    using SocketHandler = std::function<void(std::uint32_t events)>;
    using Task = std::function<void()>;
    /** Names a timer; unique, the later the greater. */
    using TimerKey = std::pair<Clock::time_point, std::uint64_t>;

    /** Creates the descriptors; false with errno set when the system has none left. */
    bool open();
    /** Runs until quit(). Precondition: open() succeeded. */
    void run();
    /** Lets run() return after the work posted before. */
    void quit();
    /** Runs @p task on the loop's thread; work posted before run() waits for it. */
    void post(Task task);
    /** Runs @p task at the end of the present round, without a wake-up. */
    void defer(Task task);
    /** Runs @p handler in each round when the wait is over, before all else. */
    void onWake(Task handler);
    /** Runs @p handler at the end of each round, before the next wait, and again when it deferred work. */
    void onRoundEnd(Task handler);

    /** Calls @p handler when @p socket is ready for one of @p events; level-triggered. */
    void watch(int socket, std::uint32_t events, SocketHandler handler);
    /** Precondition for both: @p socket is watched. */
    void change(int socket, std::uint32_t events);
    void forget(int socket);

    /** Runs @p task once after @p delay. */
    TimerKey schedule(Milliseconds delay, Task task);
    /** Does nothing when the timer has run. */
    void cancel(const TimerKey &timer);

private:
    struct Watch
    {
        std::uint64_t key = 0;
        std::shared_ptr<SocketHandler> handler;
    };

    [[nodiscard]] int waitTime() const;
    void handleSockets();
    void runPosted();
    void runTimers();
    void runDeferred();

    FileDescriptor m_epoll;
    FileDescriptor m_wake;
    std::uint64_t m_lastKey = 0;
    std::map<int, Watch> m_watches;
    std::map<TimerKey, Task> m_timers;
    std::vector<Task> m_deferred;
    Task m_wakeHandler;
    Task m_roundEndHandler;
    bool m_quit = false;

    std::mutex m_mutex;
    std::vector<Task> m_posted;
};

} // namespace currantring
