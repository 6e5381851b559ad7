#include "fillercost.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <numbers>
#include <optional>
#include <string>
#include <vector>

using namespace currantring;

namespace {

/** Cost of a worker with this contention and impact, both with the new filler; nullopt when it is closed to the filler.
 */
using Decision = std::function<std::optional<double>(double contention, bool isFirst, const FillerImpact &impact)>;

std::optional<double> costOf(double contention, bool isFirst, const FillerImpact &impact)
{
    FillerCost cost(contention, isFirst, FillerThrottling::Avoided);
    cost.add(impact);
    return cost.total();
}

/** The former rule: fillers could exceed the unused processors, and what the serving tasks bear at their peak load. */
std::optional<double> formerCostOf(double contention, bool isFirst, const FillerImpact &impact)
{
    const double excess = std::max(impact.peakOverLimit + impact.addedStress, 0.0);
    const bool exceedsNow = impact.stressOverLimit + impact.addedStress > -0.03;
    if ((contention > 1.15 && !isFirst) || exceedsNow || excess > 0.05) {
        return std::nullopt;
    }
    return std::max(contention, 0.5) + excess * 10 + impact.coefficient * 1.5;
}

struct Outcome
{
    /** Fillers that finished within the limit after their arrival. */
    int onTime = 0;
    /** Sum over the workers of the time in which serving tasks were over their target, or fillers beside them
     * throttled. */
    int harmedTicks = 0;
};

/**
 * Workers whose serving tasks' load swings, and fillers that arrive for some seconds faster than the workers can run
 * them.
 *
 * Throttling follows the load with a lag, as pace orders do.
 */
class FleetModel
{
public:
    struct Load
    {
        /** One worker each: how much fillers disturb its serving tasks; 0 where it has none. */
        std::vector<double> coefficients;
        double swingSeconds = 14;
        double arrivalsPerSecond = 8;
        double burstSeconds = 5;
    };

    FleetModel(Load load, Decision decision)
        : m_load(std::move(load))
        , m_decision(std::move(decision))
        , m_workers(m_load.coefficients.size())
    {
    }

    Outcome play()
    {
        for (m_tick = 0; m_tick < ticks; ++m_tick) {
            arrive();
            place();
            for (std::size_t worker = 0; worker < m_workers.size(); ++worker) {
                work(worker);
            }
        }
        return m_outcome;
    }

private:
    static constexpr int ticks = 400;
    static constexpr double tickSeconds = 0.1;
    static constexpr int lagTicks = 6;
    static constexpr double limit = 0.8;
    static constexpr double targetMargin = 0.05;
    static constexpr double meanLoad = 0.45;
    static constexpr double loadSwing = 0.22;
    /** Part of a worker's processors that one filler asks for, and its duration at full speed. */
    static constexpr double fillerShare = 0.11;
    static constexpr double fillerSeconds = 1.7;
    static constexpr double onTimeSeconds = 8;

    /** A filler below this pace for this time is stopped and placed again, which costs what it did since its
     * checkpoint. */
    static constexpr double haltedPace = 0.3;
    static constexpr int haltedTicks = 5;
    static constexpr double moveSeconds = 0.8;
    /** How long serving tasks may be over their target before all fillers beside them are halted. */
    static constexpr int overTicks = 10;

    struct Filler
    {
        int arrivedAt = 0;
        /** Its disturbance, as a multiple of the mean of its image. */
        double effect = 1;
        double left = fillerSeconds;
    };
    struct Worker
    {
        std::vector<Filler> fillers;
        double pace = 1;
        int haltedFor = 0;
        int overFor = 0;
    };

    [[nodiscard]] double servingLoad(std::size_t worker, int tick) const
    {
        if (m_load.coefficients[worker] == 0) {
            return 0;
        }
        const double turns = tick * tickSeconds / m_load.swingSeconds + 0.3 * static_cast<double>(worker);
        return meanLoad + loadSwing * std::sin(2 * std::numbers::pi * turns);
    }

    [[nodiscard]] double addedStress(std::size_t worker, std::size_t fillers) const
    {
        return m_load.coefficients[worker] * fillerShare * static_cast<double>(fillers);
    }

    void arrive()
    {
        if (m_tick * tickSeconds >= m_load.burstSeconds) {
            return;
        }
        m_due += m_load.arrivalsPerSecond * tickSeconds;
        for (; m_due >= 1; --m_due) {
            // The effect of fillers of one image varies widely between tasks.
            m_effects = m_effects * 1'103'515'245U + 12'345U;
            const double effect = 0.2 + 1.6 * static_cast<double>(m_effects >> 16U & 0x7fffU) / 0x7fff;
            m_waiting.push_back({ m_tick, effect });
        }
    }

    [[nodiscard]] std::optional<double> costOf(std::size_t number) const
    {
        const Worker &worker = m_workers[number];
        const double coefficient = m_load.coefficients[number];
        const double added = addedStress(number, worker.fillers.size());
        const double contention =
            fillerShare * static_cast<double>(worker.fillers.size() + 1) / (coefficient == 0 ? 1 : 1 - meanLoad);
        if (coefficient == 0) {
            return m_decision(contention, worker.fillers.empty(), { -1, -1, 0, 0 });
        }
        const double now = servingLoad(number, m_tick - lagTicks) + worker.pace * added - limit;
        const double peak = meanLoad + loadSwing + added - limit;
        return m_decision(contention, worker.fillers.empty(), { now, peak, coefficient, addedStress(number, 1) });
    }

    void place()
    {
        while (!m_waiting.empty()) {
            std::optional<std::pair<double, std::size_t>> best;
            for (std::size_t worker = 0; worker < m_workers.size(); ++worker) {
                if (const std::optional<double> cost = costOf(worker)) {
                    best = std::min(best.value_or(std::pair(*cost, worker)), std::pair(*cost, worker));
                }
            }
            if (!best) {
                return;
            }
            m_workers[best->second].fillers.push_back(m_waiting.front());
            m_waiting.pop_front();
        }
    }

    [[nodiscard]] double trueStress(std::size_t number) const
    {
        double stress = 0;
        for (const Filler &filler : m_workers[number].fillers) {
            stress += filler.effect * addedStress(number, 1);
        }
        return stress;
    }

    void work(std::size_t number)
    {
        Worker &worker = m_workers[number];
        if (worker.fillers.empty()) {
            return;
        }
        throttle(number);
        const double demand = fillerShare * static_cast<double>(worker.fillers.size()) * worker.pace;
        const double unused = 1 - servingLoad(number, m_tick);
        const double speed = worker.pace * std::min(unused / std::max(demand, fillerShare), 1.0);
        for (Filler &filler : worker.fillers) {
            filler.left -= speed * tickSeconds;
        }
        std::erase_if(worker.fillers, [this](const Filler &filler) {
            const bool isDone = filler.left <= 0;
            const bool isOnTime = (m_tick - filler.arrivedAt) * tickSeconds <= onTimeSeconds;
            m_outcome.onTime += isDone && isOnTime ? 1 : 0;
            return isDone;
        });
    }

    void throttle(std::size_t number)
    {
        Worker &worker = m_workers[number];
        const double full = trueStress(number);
        const double room = limit - targetMargin - servingLoad(number, m_tick - lagTicks);
        const bool isOver = full > 0 && servingLoad(number, m_tick) + worker.pace * full > limit;
        worker.overFor = isOver ? worker.overFor + 1 : 0;
        worker.pace = full == 0 ? 1 : std::clamp(room / full, 0.0, 1.0);
        if (worker.overFor >= overTicks) {
            worker.pace = 0;
        }
        m_outcome.harmedTicks += isOver || worker.pace < 1 ? 1 : 0;
        worker.haltedFor = worker.pace <= haltedPace ? worker.haltedFor + 1 : 0;
        if (worker.haltedFor >= haltedTicks) {
            worker.haltedFor = 0;
            Filler moved = worker.fillers.back();
            worker.fillers.pop_back();
            moved.left += moveSeconds;
            m_waiting.push_front(moved);
        }
    }

    Load m_load;
    Decision m_decision;
    std::vector<Worker> m_workers;
    int m_tick = 0;
    std::uint32_t m_effects = 1;
    double m_due = 0;
    std::deque<Filler> m_waiting;
    Outcome m_outcome;
};

} // namespace

BOOST_AUTO_TEST_SUITE(FillerCosts)

/**
 * Guards against placing a filler where it would be throttled soon, and against closing a worker that has room for it.
 */
BOOST_AUTO_TEST_CASE(closesWorkersThatWouldHaveToThrottleTheFiller)
{
    struct Case
    {
        std::string name;
        double contention;
        bool isFirst;
        FillerImpact impact;
        bool isOpen;
    };
    const std::vector<Case> cases {
        { "room for all", 0.8, false, { -0.5, -0.3, 0.5, 0.1 }, true },
        { "more fillers than unused processors", 1.05, false, { -0.5, -0.3, 0.5, 0.1 }, false },
        { "a filler larger than the unused processors, alone", 1.6, true, { -0.5, -0.3, 0.5, 0.1 }, true },
        { "would have to be throttled at peak load", 0.8, false, { -0.5, -0.08, 0.5, 0.1 }, false },
        { "fits at peak load, little left now", 0.8, false, { -0.15, -0.3, 0.5, 0.1 }, false },
        { "fits exactly at peak load", 0.8, false, { -0.5, -0.1, 0.5, 0.1 }, true },
        { "alone, but beside a serving task at its limit", 0.3, true, { 0.0, 0.1, 0.5, 0.1 }, false },
    };
    for (const Case &one : cases) {
        BOOST_TEST(costOf(one.contention, one.isFirst, one.impact).has_value() == one.isOpen, one.name);
    }
}

/**
 * Guards against a cost that ignores the disturbance or the contention. Below a contention of one half, workers are
 * equal.
 */
BOOST_AUTO_TEST_CASE(prefersWorkersWhereTheFillerDisturbsLess)
{
    const auto cost = [](double contention, double coefficient) {
        return costOf(contention, false, { -0.6, -0.5, coefficient, 0.01 }).value();
    };
    BOOST_TEST(cost(0.6, 0.2) < cost(0.6, 0.9));
    BOOST_TEST(cost(0.6, 0.2) < cost(0.9, 0.2));
    BOOST_TEST(cost(0.1, 0.2) == cost(0.5, 0.2));
}

/**
 * Guards against fillers that never start where all workers would have to throttle them, though most processors are
 * unused.
 */
BOOST_AUTO_TEST_CASE(acceptedThrottlingOpensWorkersInOrderOfTheExcess)
{
    const auto cost = [](double contention, double peakOverLimit) {
        FillerCost worker(contention, false, FillerThrottling::Accepted);
        worker.add({ -0.6, peakOverLimit, 0.5, 0.1 });
        return worker.total();
    };
    BOOST_TEST_REQUIRE(cost(0.8, 0.3).has_value());
    BOOST_TEST(cost(0.8, -0.5).value() < cost(0.8, 0.1).value());
    BOOST_TEST(cost(0.8, 0.1).value() < cost(0.8, 0.3).value());
    BOOST_TEST(!cost(1.2, -0.5).has_value());
}

/**
 * A burst of fillers, of which some workers can run more without harm than others. With the former rule they were
 * placed wherever throttling could make up for it, so that serving tasks were over their target and fillers halted
 * half-way. Under a lasting overload the new rule runs fewer fillers at a time, which may cost up to a third of those
 * that end on time here.
 */
BOOST_AUTO_TEST_CASE(burstBesideServingTasksHarmsThemLess)
{
    struct Case
    {
        std::string name;
        FleetModel::Load load;
    };
    const std::vector<Case> cases {
        { "burst", { { 0, 0.3, 0.7, 1.4 }, 14, 20, 5 } },
        { "burst, most tasks easily disturbed", { { 0, 0.7, 1.4, 1.4 }, 14, 15, 5 } },
        { "fast swings", { { 0, 0.3, 0.7, 1.4 }, 7, 20, 5 } },
        { "long burst", { { 0, 0.3, 0.7, 1.4 }, 14, 12, 15 } },
    };
    for (const Case &one : cases) {
        const Outcome former = FleetModel(one.load, formerCostOf).play();
        const Outcome present = FleetModel(one.load, costOf).play();
        BOOST_TEST_MESSAGE(one.name << ": on time " << former.onTime << " -> " << present.onTime << ", harmed ticks "
                                    << former.harmedTicks << " -> " << present.harmedTicks);
        BOOST_TEST(present.harmedTicks * 2 <= former.harmedTicks, one.name);
        BOOST_TEST(present.onTime * 3 >= former.onTime * 2, one.name);
    }
}

BOOST_AUTO_TEST_SUITE_END()
