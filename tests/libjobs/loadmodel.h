#pragma once

#include "joburgency.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace currantring {

/** Pseudo-random numbers; the distributions of the standard library differ between implementations. */
class Generator
{
public:
    explicit Generator(std::uint64_t seed)
        : m_state(seed)
    {
    }
    /** At least 0 and less than 1. */
    double next()
    {
        m_state = m_state * 6'364'136'223'846'793'005U + 1'442'695'040'888'963'407U;
        return static_cast<double>(m_state >> 40U) / static_cast<double>(1U << 24U);
    }
    /** Uniform within @p spread of @p mean, as a part of it. */
    double around(double mean, double spread)
    {
        return mean * (1 + spread * (2 * next() - 1));
    }
    /** Many small values and few large ones. */
    double skewed(double mean, double most)
    {
        return std::min(-mean * std::log(1 - next()), most);
    }

private:
    std::uint64_t m_state;
};

/**
 * Jobs of one kind, and the processors that they share. The defaults are the batch jobs of the first deployment, with a
 * usual load and a slowdown at which the former key gives about the measured shares: 0.19 on time, 0.55 late, 0.20
 * never.
 */
struct Load
{
    std::string name;
    std::uint64_t seed = 1;
    bool isFiller = true;
    double stretch = 2;
    std::int64_t targetMs = 1000;
    double jobsPerSecond = 26.2;
    double steps = 2;
    double width = 20;
    double estimateMs = 1700;
    double processors = 3500;
    /** Part of the capacity that the usual arrivals need, at the true durations without slowdown. */
    double usualLoad = 1.1;
    double burstFactor = 2.2;
    std::int64_t burstMs = 5400;
    /** Part of the capacity that is lost at the middle of the burst, with its runs, until the end of the burst. */
    double lostCapacity = 0;
    /** How far a task's duration is from its estimate, at most, as a part of it. */
    double error = 0.2;
    /** How much longer best-effort tasks take that start when nearly all capacity is used, as they share processors. */
    double slowdown = 1.3;
    /** One task in so many takes seven times as long; 0 for none. */
    int slowOneIn = 0;
    /** One job in so many has ten times as many tasks; 0 for none. */
    int hugeOneIn = 0;
};

/** A job and its progress. */
struct ModelJob
{
    Job job;
    /** True durations of the tasks, by step. */
    std::vector<std::vector<std::int64_t>> durations;
    /** Tasks that wait, by step. */
    std::vector<std::vector<std::uint32_t>> waiting;
    std::vector<bool> isOpened;
    double estimatedWork = 0;
    double trueWork = 0;
    std::int64_t objective = 0;
    std::optional<std::int64_t> finishedAt;

    explicit ModelJob(Job given)
        : job(std::move(given))
    {
    }
};

/** How many jobs finish within their objective, within lateFactor times it, or later. */
struct Count
{
    int jobs = 0;
    int onTime = 0;
    int late = 0;
    int never = 0;

    [[nodiscard]] double served() const
    {
        return static_cast<double>(onTime + late) / std::max(jobs, 1);
    }
};

struct Outcome
{
    Count all;
    Count largestTenth;
    Count fifthBelow;
    int unfinished = 0;
};

/** The order of waiting work that is played, as urgencyOf() gives it. */
using Order = std::function<JobUrgency(const Job &, std::uint32_t, const QueueEntry &, WallTime)>;

/** Time from acceptance in which a job should finish, in milliseconds. */
std::int64_t objectiveOf(const JobSpec &spec, const QueueEntry &queue);

/**
 * Plays an order: in each placement pass, waiting tasks get processors in that order while any are free. The model has
 * no network, and decisions take no time. Thread safety: reentrant.
 */
class LoadModel
{
public:
    explicit LoadModel(Load load);
    Outcome play(const Order &order);
    /**
     * Bound on the number of jobs that any order can have on time: the jobs whose time from arrival to objective lies
     * within an interval share its capacity, smallest jobs first, and all others are on time. The best interval counts.
     */
    [[nodiscard]] int bound() const;

private:
    struct Run
    {
        std::size_t job = 0;
        std::uint32_t step = 0;
        std::uint32_t task = 0;
    };

    [[nodiscard]] bool isBurst(std::int64_t now) const;
    [[nodiscard]] double capacityAt(std::int64_t now) const;
    void addJob(std::int64_t now);
    StepSpec randomStep(double widthFactor);
    std::int64_t durationOf(const StepSpec &step);
    void endRuns(std::vector<ModelJob> &jobs, std::int64_t now);
    static double processorsOf(const ModelJob &job, std::uint32_t step);
    void place(std::vector<ModelJob> &jobs, const std::vector<std::size_t> &open, const Order &order, std::int64_t now);
    void placeStep(ModelJob &job, std::size_t number, std::uint32_t step, std::int64_t now);
    static void add(Count &count, const ModelJob &job);
    static Outcome outcomeOf(std::vector<ModelJob> &jobs);
    [[nodiscard]] int boundWithin(std::int64_t first, std::int64_t last) const;

    Load m_load;
    QueueEntry m_queue;
    Generator m_random;
    double m_capacity = 0;
    std::vector<ModelJob> m_jobs;
    /** By the time of their end. */
    std::multimap<std::int64_t, Run> m_runs;
    double m_used = 0;
};

} // namespace currantring
