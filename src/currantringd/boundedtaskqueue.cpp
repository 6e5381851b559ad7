#include "boundedtaskqueue.h"

#include <utility>

namespace currantring {

namespace {

thread_local bool refusing = false;

} // namespace

BoundedTaskQueue::BoundedTaskQueue(CallPool::Limits limits, std::function<void()> onRefused)
    : m_pool("http", limits)
    , m_onRefused(std::move(onRefused))
{
}

void BoundedTaskQueue::enqueue(std::function<void()> connection)
{
    if (m_pool.tryRun(connection)) {
        return;
    }
    m_onRefused();
    refusing = true;
    connection();
    refusing = false;
}

void BoundedTaskQueue::shutdown()
{
    m_pool.stop();
}

bool BoundedTaskQueue::isRefusing()
{
    return refusing;
}

} // namespace currantring
