#include "virtualjobs.h"

namespace currantring {

JobSpec batchJob(std::uint64_t number, std::uint32_t steps, std::uint32_t width, Milliseconds work,
                 Millicores processors)
{
    JobSpec spec;
    std::string digits = std::to_string(number);
    spec.id = JobId(std::string(16 - digits.size(), '0') + digits);
    spec.queue = QueueName("batch");
    spec.payload = "work=" + std::to_string(work.count());
    for (std::uint32_t step = 0; step < steps; ++step) {
        StepSpec stepSpec;
        stepSpec.count = width;
        stepSpec.need = { processors, Mebibytes(1000), AcceleratorCount(0) };
        stepSpec.estimate = work;
        if (step > 0) {
            stepSpec.after = { step - 1 };
        }
        spec.steps.push_back(stepSpec);
    }
    return spec;
}

JobSpec lastingJob(std::uint64_t number, std::uint32_t width)
{
    JobSpec spec = batchJob(number, 1, width);
    spec.queue = QueueName("urgent");
    spec.payload = "tail=10";
    spec.steps.front().isLasting = true;
    spec.steps.front().tailTarget = Milliseconds(50);
    spec.steps.front().image = ImageName("watch");
    return spec;
}

JobSpec gangJob(std::uint64_t number, std::uint32_t width)
{
    JobSpec spec = withPayload(batchJob(number, 1, width), "gang=" + std::to_string(width));
    spec.steps.front().isGang = true;
    return spec;
}

JobSpec copiedJob(std::uint64_t number, std::uint32_t width)
{
    JobSpec spec = batchJob(number, 2, width);
    for (StepSpec &step : spec.steps) {
        step.mayRunCopies = true;
    }
    return spec;
}

JobSpec admittedJob(std::uint64_t number, std::uint32_t width)
{
    JobSpec spec = withPayload(batchJob(number, 2, width), "ticket=1");
    spec.queue = QueueName("admitted");
    return spec;
}

JobSpec repeatedJob(std::uint64_t number, WallTime first, Milliseconds interval)
{
    JobSpec spec = batchJob(number, 2, 2);
    spec.schedule = JobSchedule { first, interval, 3 };
    return spec;
}

JobSpec withPayload(JobSpec spec, const std::string &argument)
{
    spec.payload += " " + argument;
    return spec;
}

} // namespace currantring
