/**
 * Simulates a site with many workers in virtual time, to be run under a profiler. The printed processor time includes
 * the simulated workers and the invariant checks besides the placement decisions. Arguments: workers, seconds.
 */
#include "virtualjobs.h"
#include "virtualsite.h"

#include <cstdlib>
#include <ctime>
#include <iostream>
#include <span>

using namespace currantring;

namespace {

constexpr int defaultWorkers = 490;
constexpr int defaultSeconds = 10;
constexpr Milliseconds warmUp { 3000 };
/** Load: one lasting job per this many workers, and this many batch jobs a second per worker. */
constexpr int workersPerLastingJob = 3;
constexpr double batchJobsPerWorkerSecond = 0.054;
constexpr std::uint32_t tasksPerStep = 14;

JobSpec servingJob(std::uint64_t number)
{
    JobSpec job = lastingJob(number, tasksPerStep);
    job.steps.front().need = { Millicores(6400), Mebibytes(13'000), AcceleratorCount(0) };
    job.steps.front().tailTarget = Milliseconds(50);
    job.steps.front().image = ImageName("server-" + std::to_string(number % 10));
    return job;
}

JobSpec mixedJob(std::uint64_t number)
{
    const bool isFiller = number % 2 == 0;
    JobSpec job =
        batchJob(number, 2, tasksPerStep, Milliseconds(isFiller ? 2300 : 680), Millicores(isFiller ? 3500 : 5700));
    job.queue = QueueName(isFiller ? "batch" : "urgent");
    for (StepSpec &step : job.steps) {
        step.isFiller = isFiller;
        step.image = ImageName("filler-" + std::to_string(number % 18));
    }
    return job;
}

} // namespace

int main(int count, char **values)
{
    const std::span<char *> arguments(values, static_cast<std::size_t>(count));
    VirtualSiteOptions options;
    options.workers = arguments.size() > 1 ? std::atoi(arguments[1]) : defaultWorkers;
    const int seconds = arguments.size() > 2 ? std::atoi(arguments[2]) : defaultSeconds;
    options.capacity = { Millicores(32'000), Mebibytes(128'000), AcceleratorCount(0) };
    VirtualSite site(options);
    site.run(warmUp);
    std::uint64_t number = 1;
    const std::clock_t startedAt = std::clock();
    const auto send = [&site](const JobSpec &job) {
        site.send(site.hosts().front(), SubmitJob { std::make_shared<const JobSpec>(job) });
    };
    for (int index = 0; index < options.workers / workersPerLastingJob; ++index) {
        send(servingJob(number++));
    }
    double jobsDue = 0;
    for (int tick = 0; tick < seconds * 10; ++tick) {
        for (jobsDue += options.workers * batchJobsPerWorkerSecond / 10; jobsDue >= 1; --jobsDue) {
            send(mixedJob(number++));
        }
        site.run(Milliseconds(100));
    }
    const double processorSeconds = static_cast<double>(std::clock() - startedAt) / CLOCKS_PER_SEC;
    std::cout << "workers=" << options.workers << " seconds=" << seconds << " jobs=" << number - 1
              << " starts=" << site.judge().starts() << " processor_s=" << processorSeconds << '\n';
    return 0;
}
