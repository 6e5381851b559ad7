#pragma once

#include "loadadmission.h"
#include "random.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace currantring {

/** Jobs of one kind that arrive over time; their true durations vary by up to half. */
struct LoadKind
{
    std::uint32_t priority = 0;
    double stretch = 1.5;
    Milliseconds targetLatency {};
    std::uint32_t steps = 2;
    std::uint32_t width = 10;
    Milliseconds duration {};
    Millicores processors;
    /** Load in multiples of the capacity, before and after the burst, and during it. */
    double usualLoad = 0;
    double burstLoad = 0;
    /** The estimates are the mean duration times this. */
    double estimateFactor = 1;
};

/** What a caller does after a refusal. */
enum class CallerHabit {
    /** Returns as told. */
    Patient,
    /** Returns after 0.2 s whatever it is told. */
    Impatient,
};

/** A load on 2,000 cores with arrivals for 60 s, simulated for 120 s. */
struct LoadPattern
{
    std::string name;
    std::vector<LoadKind> kinds;
    Milliseconds burst {};
    /** Part of the capacity that is lost during the burst. */
    double lostCapacity = 0;
    CallerHabit habit = CallerHabit::Patient;
};

/** What became of the jobs, by their callers' first attempt. */
struct LoadOutcome
{
    int jobs = 0;
    int onTime = 0;
    /** Finished within three times the objective. */
    int late = 0;
    /** Finished later, or not at the end. */
    int never = 0;
    /** Refused at each of five attempts. */
    int refused = 0;
    int refusals = 0;
    /** Accepted, and not finished within three times the objective from the accepted attempt on. */
    int acceptedInVain = 0;
    /** The same, without the jobs of the highest priority. */
    int acceptedInVainBehind = 0;
    /** Most work that returned after a refusal in one second, in seconds of the capacity. */
    double returnPeak = 0;
    /** Highest number of steps that waited at once. */
    std::size_t waitingSteps = 0;
};

/**
 * Simulates a load with workers that are one pool of processors, and the order of RunStarter.
 *
 * Thread safety: one thread at a time.
 */
class AdmissionLoadModel
{
public:
    AdmissionLoadModel(const LoadPattern &pattern, bool refuses);

    LoadOutcome play();
    /** The most jobs that any order and any refusals could finish within three times their objectives. */
    [[nodiscard]] int bestInTime() const;

private:
    struct ModelJob
    {
        const LoadKind *kind = nullptr;
        QueueEntry queue;
        std::shared_ptr<const JobSpec> spec;
        /** True durations by step. */
        std::vector<Milliseconds> durations;
        TimePoint firstAttempt {};
        TimePoint acceptedAt {};
        int attempts = 0;
        std::unique_ptr<Job> job;
        /** Tasks not started yet, by step; a step is open once those before it are done. */
        std::vector<std::uint32_t> unstarted;
        std::uint32_t openStep = 0;
        std::uint32_t running = 0;
        TimePoint doneAt {};
    };

    void makeArrivals(const LoadKind &kind, const QueueEntry &queue);
    void attempt(std::size_t index);
    void place();
    void endTasks();
    void reportLeft(const std::vector<std::size_t> &waiting);
    void judge(const ModelJob &job);
    [[nodiscard]] Milliseconds limitOf(const ModelJob &job) const;
    [[nodiscard]] double trueWork(const ModelJob &job) const;
    [[nodiscard]] JobUrgency urgency(const ModelJob &job) const;
    [[nodiscard]] double capacity() const;

    LoadPattern m_pattern;
    bool m_refuses;
    Random m_random { 7 };
    TimePoint m_now {};
    LoadAdmission m_admission { TimePoint {} };
    std::vector<ModelJob> m_jobs;
    std::multimap<TimePoint, std::size_t> m_attempts;
    struct Running
    {
        std::size_t job = 0;
        TimePoint startedAt {};
    };
    std::multimap<TimePoint, Running> m_ends;
    std::vector<std::size_t> m_open;
    double m_used = 0;
    std::map<std::int64_t, double> m_returnsBySecond;
    LoadOutcome m_outcome;
};

} // namespace currantring
