#pragma once

#include <functional>
#include <string>

#include <pthread.h>

namespace currantring {

/**
 * A named POSIX thread that is joined on destruction.
 *
 * Thread safety: start and join from the owning thread only.
 */
class Thread
{
public:
    Thread() = default;
    /** Starts @p body in a thread called @p name (15 characters at most are kept). */
    Thread(const std::string &name, std::function<void()> body);
    ~Thread();
    Thread(const Thread &) = delete;
    Thread &operator=(const Thread &) = delete;
    Thread(Thread &&other) noexcept;
    Thread &operator=(Thread &&other) noexcept;

    /** Waits for the end of the thread. Does nothing when there is none. */
    void join();

private:
    pthread_t m_thread {};
    bool m_joinable = false;
};

} // namespace currantring
