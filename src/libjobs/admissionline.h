#pragma once

#include "taskref.h"
#include "units.h"

#include <cstdint>
#include <map>
#include <vector>

namespace currantring {

/**
 * Decides which waiting step the next admission request is for.
 *
 * Requests go to the most urgent steps, and every few of them to the step that has waited longest, so that each step
 * has its turn while more urgent ones keep coming. A step whose request was of no use makes room for others for a
 * while. Thread safety: one thread at a time.
 */
class AdmissionLine
{
public:
    /** The steps of @p byUrgency that may be served at @p now, in the order in which they should be tried. */
    [[nodiscard]] std::vector<StepRef> order(const std::vector<StepRef> &byUrgency, TimePoint now);
    /** A request is sent for @p step. */
    void noteRequest(const StepRef &step, TimePoint now);
    /** No request for @p step makes sense at present. */
    void postpone(const StepRef &step, TimePoint now);
    /** A request for @p step didn't lead to a start. */
    void noteUseless(const StepRef &step, TimePoint now);
    /** A request for @p step led to a start. */
    void noteUseful(const StepRef &step);
    /** @p step needs its next request before the tickets that it has expire. */
    void noteIncomplete(const StepRef &step);
    /** Number of requests in a row that didn't lead to a start of the step. */
    [[nodiscard]] std::uint32_t uselessRequests(const StepRef &step) const;
    void forgetStep(const StepRef &step);
    void forgetJob(const JobId &job);
    /** Number of steps that something is kept for. */
    [[nodiscard]] std::size_t trackedSteps() const;

private:
    struct Place
    {
        /** Since the step's last request, or since it began to wait. */
        TimePoint since {};
        TimePoint notBefore {};
        std::uint32_t useless = 0;
        /** Requests in a row that were sent ahead of other steps to complete the tickets. */
        std::uint32_t completing = 0;
        bool isIncomplete = false;
    };

    std::map<StepRef, Place> m_places;
    std::uint64_t m_requests = 0;
};

} // namespace currantring
