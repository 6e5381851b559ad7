#pragma once

#include "jobids.h"
#include "siteconfiguration.h"

#include <cstddef>
#include <vector>

namespace currantring {

/** A worker that an admission request may name. */
struct AdmissionCandidate
{
    WorkerId worker;
    WorkerLife life;
    /** Number of the step's tasks that it has room for. */
    std::size_t slots = 1;
};

/** What a step needs tickets for. */
struct AdmissionNeed
{
    std::size_t tasks = 0;
    /** Whether the tickets are of no use unless all the tasks can start. */
    bool needsAll = false;
};

/**
 * How many of @p candidates, from the first on, an admission request should name.
 *
 * The service handles requests one by one, so the most tasks start in the end if each request yields the most expected
 * starts for its duration. @p admittedShare: probability that the service admits a worker. At most @p limit workers are
 * named; the result is 0 only if @p limit is or there are no candidates. Thread safety: reentrant.
 */
std::size_t admissionBatchSize(const std::vector<AdmissionCandidate> &candidates, const AdmissionNeed &need,
                               const AdmissionTerms &terms, double admittedShare, std::size_t limit);

} // namespace currantring
