#pragma once

#include "jobids.h"
#include "siteconfiguration.h"

#include <map>

namespace currantring {

/**
 * What the answers of the admission service have shown so far: which share of workers it admits, and how much longer
 * than stated it takes.
 *
 * Thread safety: one thread at a time.
 */
class AdmissionStatistics
{
public:
    void noteAnswer(const QueueName &queue, std::size_t named, std::size_t admitted);
    /** @p stated: duration of the request by the configuration, which took @p taken. */
    void noteDuration(Milliseconds stated, Milliseconds taken);

    /** Estimated probability, above 0, that a worker is admitted to a step of @p queue. */
    [[nodiscard]] double admittedShare(const QueueName &queue) const;
    /** How long a request is expected to take that should take @p stated. */
    [[nodiscard]] Milliseconds expectedDuration(Milliseconds stated) const;

private:
    struct Counts
    {
        double named = 0;
        double admitted = 0;
    };

    std::map<QueueName, Counts> m_counts;
    /** Mean ratio of the duration of requests to the stated one; at least 1. */
    double m_slowness = 1;
};

} // namespace currantring
