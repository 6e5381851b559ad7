#include "rackwaitmodel.h"

#include "rackturnover.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <queue>

namespace currantring {

namespace {

constexpr double passInterval = 20;
constexpr double msPerSecond = 1000;
/** The rack has been in use, and its writer active, for this time before the row begins. */
constexpr double warmUp = 3000;
constexpr TimePoint zero { Milliseconds(1'000'000) };

TimePoint timeOf(double at)
{
    return zero + Milliseconds(std::llround(at));
}

template<typename Flow>
std::vector<double> timesOf(const std::vector<Flow> &flows)
{
    std::vector<double> times;
    for (const Flow &flow : flows) {
        const double interval = msPerSecond / flow.perSecond;
        for (double at = flow.from + interval; at <= flow.to; at += interval) {
            times.push_back(at);
        }
    }
    std::ranges::sort(times);
    return times;
}

/** What a task costs that runs elsewhere, apart from its wait before. */
double costElsewhere(const RackWaitRow &row)
{
    const double longer = static_cast<double>(row.duration.count()) * (row.farFactor - 1);
    return row.isCapacityShort ? 2 * longer : longer;
}

StepSpec stepOf(const RackWaitRow &row)
{
    StepSpec step;
    step.count = row.tasks;
    step.need.processors = Millicores(1000);
    step.estimate = row.estimate;
    step.isGang = row.isGang;
    return step;
}

class RackWaitModel
{
public:
    RackWaitModel(const RackWaitRow &row, RackWaitRule rule)
        : m_row(row)
        , m_rule(rule)
        , m_step(stepOf(row))
        , m_freed(timesOf(row.freed))
        , m_arriving(timesOf(row.arriving))
    {
    }

    RackWaitCost play()
    {
        m_now = -warmUp;
        while (m_now <= lastArrival() || !m_waiting.empty()) {
            pass();
            m_now += passInterval;
        }
        return m_cost;
    }

private:
    struct WaitingStep
    {
        double arrival = 0;
        std::size_t tasks = 0;
    };

    [[nodiscard]] double lastArrival() const
    {
        return m_arriving.empty() ? 0 : m_arriving.back();
    }

    void pass()
    {
        m_free = m_row.areKept ? m_free : 0;
        for (; m_nextFreed < m_freed.size() && m_freed[m_nextFreed] <= m_now; ++m_nextFreed) {
            m_turnover.noteEnd(m_rack, m_step, timeOf(m_now));
            ++m_free;
        }
        for (; m_nextArriving < m_arriving.size() && m_arriving[m_nextArriving] <= m_now; ++m_nextArriving) {
            m_waiting.push_back({ m_arriving[m_nextArriving], m_row.tasks });
        }
        m_ahead = 0;
        for (WaitingStep &step : m_waiting) {
            place(step);
            m_ahead += step.tasks;
        }
        std::erase_if(m_waiting, [](const WaitingStep &step) { return step.tasks == 0; });
    }

    void place(WaitingStep &step)
    {
        const std::size_t near = m_row.isGang && m_free < step.tasks ? 0 : std::min(m_free, step.tasks);
        m_free -= near;
        take(step, near, 0);
        m_cost.near += near;
        const std::size_t waiting = step.tasks == 0 ? 0 : tasksThatWait(step);
        const std::size_t away = step.tasks - waiting;
        take(step, away, costElsewhere(m_row));
        m_cost.away += away;
    }

    void take(WaitingStep &step, std::size_t tasks, double costEach)
    {
        const double waited = m_now - step.arrival;
        m_cost.total += static_cast<double>(tasks) * (waited + costEach);
        step.tasks -= tasks;
        if (tasks > 0) {
            const double overSlack = waited - static_cast<double>(m_row.slack.count());
            m_cost.longestOverSlack = std::max(m_cost.longestOverSlack, overSlack);
        }
    }

    [[nodiscard]] std::size_t tasksThatWait(const WaitingStep &step) const
    {
        const Milliseconds waited(std::llround(m_now - step.arrival));
        if (m_rule == RackWaitRule::FixedWait) {
            const Milliseconds bound = std::clamp(m_row.estimate, Milliseconds(300), Milliseconds(3000));
            return waited < bound ? step.tasks : 0;
        }
        RackWaitInputs inputs;
        inputs.estimate = m_row.estimate;
        inputs.waited = waited;
        inputs.slack = m_row.slack - waited;
        inputs.tasks = step.tasks;
        inputs.isGang = m_row.isGang;
        inputs.canEverFit = m_row.canEverFit;
        inputs.isCapacityShort = m_row.isCapacityShort;
        inputs.freePlaces = m_row.isGang ? static_cast<double>(m_free) : 0;
        inputs.placesAhead = static_cast<double>(m_ahead);
        CapacitySum expected;
        expected.add(m_step.need, rateNow() * m_row.estimateError);
        inputs.placesPerMs = m_turnover.rate(m_rack, false, timeOf(m_now), expected).placesFor(m_step.need);
        return RackWaitPolicy(m_row.farFactor).decide(inputs).waiting;
    }

    /** Places that come free in a millisecond at present, which the estimates of the runs there tell. */
    [[nodiscard]] double rateNow() const
    {
        double rate = 0;
        for (const PlacesFreed &flow : m_row.freed) {
            rate += m_now >= flow.from && m_now < flow.to ? flow.perSecond / msPerSecond : 0;
        }
        return rate;
    }

    const RackWaitRow &m_row;
    RackWaitRule m_rule;
    StepSpec m_step;
    std::vector<double> m_freed;
    std::vector<double> m_arriving;
    const Label m_rack { "r0" };
    RackTurnover m_turnover;
    double m_now = 0;
    std::size_t m_nextFreed = 0;
    std::size_t m_nextArriving = 0;
    std::size_t m_free = 0;
    std::size_t m_ahead = 0;
    std::deque<WaitingStep> m_waiting;
    RackWaitCost m_cost;
};

/** The one gang of a row waits until enough places are free, or runs elsewhere at once. */
double bestOfGang(const RackWaitRow &row, const std::vector<double> &freed, double arrival)
{
    double best = costElsewhere(row);
    if (row.canEverFit && freed.size() >= row.tasks) {
        best = std::min(best, std::max(freed[row.tasks - 1] - arrival, 0.0));
    }
    return best * row.tasks;
}

} // namespace

RackWaitCost playRackWaits(const RackWaitRow &row, RackWaitRule rule)
{
    return RackWaitModel(row, rule).play();
}

/**
 * Without kept places each place serves a task that has arrived by then, or none. All tasks cost the same elsewhere, so
 * that serving the latest one at each place saves the most, and leaves the others as they are to later places.
 */
double bestRackWaits(const RackWaitRow &row)
{
    const std::vector<double> freed = timesOf(row.freed);
    const std::vector<double> arriving = timesOf(row.arriving);
    if (row.isGang) {
        return bestOfGang(row, freed, arriving.front());
    }
    const double elsewhere = costElsewhere(row);
    double cost = elsewhere * static_cast<double>(arriving.size() * row.tasks);
    std::priority_queue<double> unplaced;
    std::size_t next = 0;
    for (const double at : freed) {
        for (; next < arriving.size() && arriving[next] <= at; ++next) {
            for (std::uint32_t task = 0; task < row.tasks; ++task) {
                unplaced.push(arriving[next]);
            }
        }
        if (row.canEverFit && !unplaced.empty() && at - unplaced.top() < elsewhere) {
            cost -= elsewhere - (at - unplaced.top());
            unplaced.pop();
        }
    }
    return cost;
}

} // namespace currantring
