#include "thread.h"

#include <memory>
#include <system_error>
#include <utility>

namespace currantring {

namespace {

constexpr std::size_t maximumNameLength = 15;

struct StartData
{
    std::string name;
    std::function<void()> body;
};

void *runBody(void *argument)
{
    const std::unique_ptr<StartData> data(static_cast<StartData *>(argument));
    pthread_setname_np(pthread_self(), data->name.substr(0, maximumNameLength).c_str());
    data->body();
    return nullptr;
}

} // namespace

Thread::Thread(const std::string &name, std::function<void()> body)
{
    auto data = std::make_unique<StartData>(StartData { name, std::move(body) });
    const int error = pthread_create(&m_thread, nullptr, runBody, data.get());
    if (error != 0) {
        throw std::system_error(error, std::generic_category(), "pthread_create");
    }
    static_cast<void>(data.release());
    m_joinable = true;
}

Thread::~Thread()
{
    join();
}

Thread::Thread(Thread &&other) noexcept
    : m_thread(other.m_thread)
    , m_joinable(std::exchange(other.m_joinable, false))
{
}

Thread &Thread::operator=(Thread &&other) noexcept
{
    if (this != &other) {
        join();
        m_thread = other.m_thread;
        m_joinable = std::exchange(other.m_joinable, false);
    }
    return *this;
}

void Thread::join()
{
    if (m_joinable) {
        pthread_join(m_thread, nullptr);
        m_joinable = false;
    }
}

} // namespace currantring
