#include "eventloop.h"

#include <algorithm>
#include <array>
#include <cerrno>

#include <sys/epoll.h>
#include <sys/eventfd.h>

namespace currantring {

namespace {

/** More than the sockets that are ready together, so that timers run after all of them. */
constexpr std::size_t eventsAtOnce = 1024;
constexpr std::int64_t longestWaitMs = 60'000;

/** Tells a watch from a later one of the same descriptor number. */
std::uint64_t eventData(int socket, std::uint64_t key)
{
    return (key << 32U) | static_cast<std::uint32_t>(socket);
}

} // namespace

bool EventLoop::open()
{
    const std::scoped_lock lock(m_mutex);
    m_epoll = FileDescriptor(::epoll_create1(EPOLL_CLOEXEC));
    m_wake = FileDescriptor(::eventfd(1, EFD_CLOEXEC | EFD_NONBLOCK));
    if (!m_epoll.isValid() || !m_wake.isValid()) {
        return false;
    }
    watch(m_wake.get(), EPOLLIN, [this](std::uint32_t /*events*/) {
        std::uint64_t count = 0;
        // Only empties the counter; the posted work is run in each round.
        static_cast<void>(!::read(m_wake.get(), &count, sizeof(count)));
    });
    return true;
}

void EventLoop::run()
{
    while (!m_quit) {
        // Sockets come first, so that a sign of life that waited while this process was paused counts.
        handleSockets();
        runPosted();
        runTimers();
        do {
            runDeferred();
            if (m_roundEndHandler) {
                m_roundEndHandler();
            }
        } while (!m_deferred.empty());
    }
}

void EventLoop::quit()
{
    post([this] { m_quit = true; });
}

void EventLoop::post(Task task)
{
    const std::scoped_lock lock(m_mutex);
    m_posted.push_back(std::move(task));
    if (m_wake.isValid() && m_posted.size() == 1) {
        const std::uint64_t one = 1;
        static_cast<void>(!::write(m_wake.get(), &one, sizeof(one)));
    }
}

void EventLoop::defer(Task task)
{
    m_deferred.push_back(std::move(task));
}

void EventLoop::onWake(Task handler)
{
    m_wakeHandler = std::move(handler);
}

void EventLoop::onRoundEnd(Task handler)
{
    m_roundEndHandler = std::move(handler);
}

void EventLoop::watch(int socket, std::uint32_t events, SocketHandler handler)
{
    const std::uint64_t key = ++m_lastKey & 0xffffffffU;
    m_watches[socket] = { key, std::make_shared<SocketHandler>(std::move(handler)) };
    epoll_event event { events, { .u64 = eventData(socket, key) } };
    ::epoll_ctl(m_epoll.get(), EPOLL_CTL_ADD, socket, &event);
}

void EventLoop::change(int socket, std::uint32_t events)
{
    epoll_event event { events, { .u64 = eventData(socket, m_watches.at(socket).key) } };
    ::epoll_ctl(m_epoll.get(), EPOLL_CTL_MOD, socket, &event);
}

void EventLoop::forget(int socket)
{
    ::epoll_ctl(m_epoll.get(), EPOLL_CTL_DEL, socket, nullptr);
    m_watches.erase(socket);
}

EventLoop::TimerKey EventLoop::schedule(Milliseconds delay, Task task)
{
    const TimerKey timer(Clock::now() + delay, ++m_lastKey);
    m_timers.emplace(timer, std::move(task));
    return timer;
}

void EventLoop::cancel(const TimerKey &timer)
{
    m_timers.erase(timer);
}

int EventLoop::waitTime() const
{
    if (m_timers.empty()) {
        return static_cast<int>(longestWaitMs);
    }
    const auto left = std::chrono::ceil<Milliseconds>(m_timers.begin()->first.first - Clock::now()).count();
    return static_cast<int>(std::clamp<std::int64_t>(left, 0, longestWaitMs));
}

void EventLoop::handleSockets()
{
    std::array<epoll_event, eventsAtOnce> events {};
    const int count = ::epoll_wait(m_epoll.get(), events.data(), static_cast<int>(events.size()), waitTime());
    if (m_wakeHandler) {
        m_wakeHandler();
    }
    for (int index = 0; index < count; ++index) {
        const epoll_event &event = events.at(static_cast<std::size_t>(index));
        const auto found = m_watches.find(static_cast<int>(event.data.u64 & 0xffffffffU));
        if (found != m_watches.end() && found->second.key == event.data.u64 >> 32U) {
            // The handler may end its own watch.
            const std::shared_ptr<SocketHandler> handler = found->second.handler;
            (*handler)(event.events);
        }
    }
}

void EventLoop::runPosted()
{
    std::vector<Task> tasks;
    {
        const std::scoped_lock lock(m_mutex);
        tasks.swap(m_posted);
    }
    for (const Task &task : tasks) {
        task();
    }
}

void EventLoop::runDeferred()
{
    while (!m_deferred.empty()) {
        std::vector<Task> tasks;
        tasks.swap(m_deferred);
        for (const Task &task : tasks) {
            task();
        }
    }
}

void EventLoop::runTimers()
{
    const Clock::time_point now = Clock::now();
    while (!m_timers.empty() && m_timers.begin()->first.first <= now) {
        const auto timer = m_timers.extract(m_timers.begin());
        timer.mapped()();
    }
}

} // namespace currantring
