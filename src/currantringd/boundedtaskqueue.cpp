#include "boundedtaskqueue.h"

#include <utility>

namespace currantring {

namespace {

thread_local bool refusing = false;

} // namespace

BoundedTaskQueue::BoundedTaskQueue(CallPool::Limits limits, std::function<void()> onWaiting,
                                   std::function<void()> onRefused)
    : m_pool("http", limits)
    , m_onWaiting(std::move(onWaiting))
    , m_onRefused(std::move(onRefused))
{
}

void BoundedTaskQueue::enqueue(std::function<void()> connection)
{
    if (m_pool.tryRun(connection)) {
        if (hasWaiting()) {
            m_onWaiting();
        }
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

bool BoundedTaskQueue::hasWaiting() const
{
    return m_pool.waiting() > 0;
}

bool BoundedTaskQueue::isRefusing()
{
    return refusing;
}

} // namespace currantring
