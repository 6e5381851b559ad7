/**
 * Plays a site of many workers in virtual time, for a profiler: what the decisions cost shows beside the simulated
 * workers and their judge, which the printed time includes. Arguments: workers, seconds.
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
/** One lasting job and so many batch jobs a second for this many workers. */
constexpr int workersPerLasting = 3;
constexpr double batchPerWorker = 0.054;
constexpr std::uint32_t width = 14;

JobSpec servingJob(std::uint64_t number)
{
    JobSpec job = lastingJob(number, width);
    job.steps.front().need = { Millicores(6400), Mebibytes(13'000), AcceleratorCount(0) };
    job.steps.front().tailTarget = Milliseconds(50);
    job.steps.front().image = ImageName("server-" + std::to_string(number % 10));
    return job;
}

JobSpec mixedJob(std::uint64_t number)
{
    const bool isFiller = number % 2 == 0;
    JobSpec job = batchJob(number, 2, width, Milliseconds(isFiller ? 2300 : 680), Millicores(isFiller ? 3500 : 5700));
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
    const std::clock_t begun = std::clock();
    const auto send = [&site](const JobSpec &job) {
        site.send(site.hosts().front(), SubmitJob { std::make_shared<const JobSpec>(job) });
    };
    for (int index = 0; index < options.workers / workersPerLasting; ++index) {
        send(servingJob(number++));
    }
    double owed = 0;
    for (int tick = 0; tick < seconds * 10; ++tick) {
        for (owed += options.workers * batchPerWorker / 10; owed >= 1; --owed) {
            send(mixedJob(number++));
        }
        site.run(Milliseconds(100));
    }
    const double spent = static_cast<double>(std::clock() - begun) / CLOCKS_PER_SEC;
    std::cout << "workers=" << options.workers << " seconds=" << seconds << " jobs=" << number - 1
              << " starts=" << site.judge().starts() << " processor_s=" << spent << '\n';
    return 0;
}
