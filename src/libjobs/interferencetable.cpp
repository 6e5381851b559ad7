#include "interferencetable.h"

#include <algorithm>

namespace currantring {

namespace {

void addFiller(WorkerInterference &worker, const LiveRun &run, Millicores capacity)
{
    const double share = static_cast<double>(run.step->need.processors.value())
        / std::max(static_cast<double>(capacity.value()), 1.0) * run.pace / 100;
    const auto known = std::ranges::find(worker.fillers, run.step->image, &WorkerInterference::Fillers::image);
    if (known != worker.fillers.end()) {
        known->share += share;
    } else {
        worker.fillers.push_back({ run.step->image, share });
    }
}

} // namespace

InterferenceTable::InterferenceTable(const NeighbourModel &neighbours)
    : m_neighbours(neighbours)
{
}

const WorkerInterference &InterferenceTable::of(const WorkerLink &link)
{
    Entry &entry = m_entries[&link];
    if (entry.revision != link.revision()) {
        entry = { link.revision(), assess(link) };
        ++m_assessments;
    }
    return entry.interference;
}

void InterferenceTable::clear()
{
    m_entries.clear();
}

WorkerInterference InterferenceTable::assess(const WorkerLink &link) const
{
    WorkerInterference worker;
    for (const auto &[ref, run] : link.runs()) {
        if (run.isFiller()) {
            addFiller(worker, run, link.entry().capacity.processors);
        }
    }
    for (const auto &[ref, run] : link.runs()) {
        if (run.isServing()) {
            addServer(worker, run);
        }
    }
    for (WorkerInterference::Servers &servers : worker.servers) {
        servers.peakOverLimit += addedStress(worker, servers.image);
    }
    return worker;
}

void InterferenceTable::addServer(WorkerInterference &worker, const LiveRun &run) const
{
    const StepSpec &server = *run.step;
    const double limit = m_neighbours.limit(server);
    const double stressOverLimit = m_neighbours.stress(run).value_or(0) - limit;
    const double loadOverLimit = m_neighbours.expectedLoad(run.ref.task.step, server) - limit;
    const auto known = std::ranges::find(worker.servers, server.image, &WorkerInterference::Servers::image);
    if (known == worker.servers.end()) {
        worker.servers.push_back({ server.image, 1, stressOverLimit, loadOverLimit });
        return;
    }
    ++known->count;
    known->stressOverLimit = std::max(known->stressOverLimit, stressOverLimit);
    known->peakOverLimit = std::max(known->peakOverLimit, loadOverLimit);
}

double InterferenceTable::addedStress(const WorkerInterference &worker, const ImageName &image) const
{
    double added = 0;
    for (const WorkerInterference::Fillers &fillers : worker.fillers) {
        added += m_neighbours.coefficient(fillers.image, image) * fillers.share;
    }
    return added;
}

std::uint64_t InterferenceTable::assessments() const
{
    return m_assessments;
}

} // namespace currantring
