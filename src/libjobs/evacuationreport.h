#pragma once

#include "evacuationlist.h"
#include "workerfleet.h"

#include <map>

namespace currantring {

/**
 * Logs and counts the begin and end of each evacuation, and when the last batch run there has ended. Decides nothing.
 *
 * Thread safety: one thread at a time.
 */
class EvacuationReport
{
public:
    /** Precondition: the arguments outlive the object. */
    EvacuationReport(const EvacuationList &evacuations, const WorkerFleet &fleet, JobContext &context);

    /** Reports what has changed since the last call; waits for the list of workers, as the lines name their number. */
    void update();

private:
    struct Reported
    {
        TimePoint since {};
        bool isDrained = false;
    };
    struct Load
    {
        std::size_t workers = 0;
        std::size_t runs = 0;
        std::size_t batchRuns = 0;
    };

    [[nodiscard]] Load loadOf(const DataCentreId &dataCentre) const;
    void reportBegin(const DataCentreId &dataCentre, const EvacuationList::Evacuation &evacuation);
    void reportDrained(const DataCentreId &dataCentre, Reported &reported);
    void reportEnd(const DataCentreId &dataCentre, const Reported &reported);
    [[nodiscard]] std::string ageOf(const Reported &reported) const;

    const EvacuationList &m_evacuations;
    const WorkerFleet &m_fleet;
    JobContext &m_context;
    std::map<DataCentreId, Reported> m_reported;
};

} // namespace currantring
