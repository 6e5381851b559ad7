#pragma once

#include "runplacer.h"

#include <functional>
#include <memory>
#include <vector>

namespace currantring {

/** Test fixture with a fleet of workers that answer at once, for tests of placement decisions. */
class FleetFixture
{
public:
    explicit FleetFixture(int workers);

    WorkerFleet &fleet();
    NeighbourModel &neighbours();
    InterferenceTable &interference();
    WorkerHealth &health();
    [[nodiscard]] const RunPlacer &placer() const;
    [[nodiscard]] TimePoint now() const;
    /** Reserves resources on the worker @p number for a run of @p step of the job @p job. */
    void occupy(int number, const JobId &job, const StepSpec &step);

private:
    JobDriver makeDriver();
    [[nodiscard]] WorkerEntry entryOf(const std::string &key) const;
    void deliverAnswers();

    int m_workers;
    std::vector<std::function<void()>> m_answers;
    JobContext m_context;
    NeighbourModel m_neighbours;
    InterferenceTable m_interference { m_neighbours };
    WorkerHealth m_health;
    EvacuationList m_evacuations { {}, {}, m_context, {} };
    std::unique_ptr<WorkerFleet> m_fleet;
    std::unique_ptr<RunPlacer> m_placer;
};

} // namespace currantring
