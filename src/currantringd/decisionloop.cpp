#include "decisionloop.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace currantring {

namespace {

constexpr Milliseconds longestTurn { 1000 };

} // namespace

ClockReading readMachineClock()
{
    const auto steady = std::chrono::steady_clock::now().time_since_epoch();
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return { TimePoint(std::chrono::duration_cast<Milliseconds>(steady)),
             WallTime(std::chrono::duration_cast<Milliseconds>(wall).count()) };
}

DecisionLoop::DecisionLoop(Context &context, Hooks hooks)
    : m_context(context)
    , m_hooks(std::move(hooks))
{
}

bool DecisionLoop::post(Input input)
{
    return offer(std::move(input), std::numeric_limits<std::size_t>::max());
}

bool DecisionLoop::offer(Input input, std::size_t bound)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_closed || m_inputs.size() >= bound) {
            return false;
        }
        m_inputs.push_back(std::move(input));
    }
    m_wake.notify_one();
    return true;
}

std::deque<Input> DecisionLoop::takeInputs(Milliseconds longest)
{
    Milliseconds wait = longest;
    if (const std::optional<TimePoint> timer = m_context.nextTimer()) {
        wait = std::clamp(*timer - m_hooks.clock().now, Milliseconds(0), longest);
    }
    std::unique_lock lock(m_mutex);
    m_wake.wait_for(lock, wait, [this] { return !m_inputs.empty(); });
    return std::exchange(m_inputs, {});
}

void DecisionLoop::advance()
{
    const ClockReading reading = m_hooks.clock();
    m_context.advance(reading.now, reading.wallNow);
}

void DecisionLoop::carryOutActions()
{
    for (Action &action : m_context.takeActions()) {
        m_exiting = m_exiting || std::holds_alternative<ExitAction>(action);
        m_hooks.action(action);
    }
}

bool DecisionLoop::turn(Milliseconds longest)
{
    // What was decided outside of a turn, such as at the start, isn't left waiting.
    carryOutActions();
    std::deque<Input> inputs = takeInputs(m_exiting ? Milliseconds(0) : longest);
    advance();
    carryOutActions();
    for (Input &input : inputs) {
        m_hooks.input(input);
        carryOutActions();
    }
    m_hooks.turned();
    return !m_exiting;
}

void DecisionLoop::run()
{
    while (turn(longestTurn)) { }
}

std::deque<Input> DecisionLoop::close()
{
    const std::lock_guard lock(m_mutex);
    m_closed = true;
    return std::exchange(m_inputs, {});
}

} // namespace currantring
