#include "admissionline.h"

#include <algorithm>

namespace currantring {

namespace {

/** One request of so many goes to the step that has waited longest. */
constexpr std::uint64_t longestWaitInterval = 4;
constexpr Milliseconds postponement { 100 };
constexpr Milliseconds firstBackoff { 200 };
constexpr std::uint32_t maxBackoffDoublings = 4;
/** A step is served ahead of others so many times in a row while its tickets are incomplete. */
constexpr std::uint32_t maxCompletingRequests = 12;

} // namespace

std::vector<StepRef> AdmissionLine::order(const std::vector<StepRef> &byUrgency, TimePoint now)
{
    std::vector<StepRef> order;
    for (const StepRef &step : byUrgency) {
        if (m_places.try_emplace(step, Place { now, {}, 0, 0, false }).first->second.notBefore <= now) {
            order.push_back(step);
        }
    }
    const auto moveToFront = [&order](auto place) {
        if (place != order.end()) {
            std::rotate(order.begin(), place, place + 1);
        }
    };
    if (m_requests % longestWaitInterval == longestWaitInterval - 1) {
        moveToFront(std::ranges::min_element(order, {}, [this](const StepRef &step) { return m_places[step].since; }));
    }
    moveToFront(std::ranges::find_if(order, [this](const StepRef &step) {
        const Place &place = m_places[step];
        return place.isIncomplete && place.completing < maxCompletingRequests;
    }));
    return order;
}

void AdmissionLine::noteRequest(const StepRef &step, TimePoint now)
{
    ++m_requests;
    Place &place = m_places[step];
    place.since = now;
    place.completing = place.isIncomplete ? place.completing + 1 : 0;
    place.isIncomplete = false;
}

void AdmissionLine::postpone(const StepRef &step, TimePoint now)
{
    m_places[step].notBefore = now + postponement;
}

void AdmissionLine::noteUseless(const StepRef &step, TimePoint now)
{
    Place &place = m_places[step];
    place.notBefore = now + Milliseconds(firstBackoff.count() << std::min(place.useless, maxBackoffDoublings));
    ++place.useless;
}

void AdmissionLine::noteUseful(const StepRef &step)
{
    m_places[step].useless = 0;
}

void AdmissionLine::noteIncomplete(const StepRef &step)
{
    m_places[step].isIncomplete = true;
}

std::uint32_t AdmissionLine::uselessRequests(const StepRef &step) const
{
    const auto found = m_places.find(step);
    return found == m_places.end() ? 0 : found->second.useless;
}

void AdmissionLine::forgetStep(const StepRef &step)
{
    m_places.erase(step);
}

void AdmissionLine::forgetJob(const JobId &job)
{
    std::erase_if(m_places, [&job](const auto &place) { return place.first.job == job; });
}

std::size_t AdmissionLine::trackedSteps() const
{
    return m_places.size();
}

} // namespace currantring
