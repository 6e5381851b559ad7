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
    m_images.clear();
    m_coefficients = {};
}

double InterferenceTable::coefficient(const ImageName &filler, const WorkerInterference::Servers &servers)
{
    const bool isKnown = servers.imageIndex < m_coefficients.values.size()
        && m_coefficients.revision == m_neighbours.coefficientRevision() && m_coefficients.filler == filler;
    if (!isKnown) {
        readCoefficients(filler);
    }
    return m_coefficients.values[servers.imageIndex];
}

void InterferenceTable::readCoefficients(const ImageName &filler)
{
    m_coefficients.filler = filler;
    m_coefficients.revision = m_neighbours.coefficientRevision();
    m_coefficients.values.clear();
    for (const ImageName &image : m_images) {
        m_coefficients.values.push_back(m_neighbours.coefficient(filler, image));
    }
}

std::size_t InterferenceTable::indexOf(const ImageName &image)
{
    const auto known = std::ranges::find(m_images, image);
    const auto index = static_cast<std::size_t>(known - m_images.begin());
    if (known == m_images.end()) {
        m_images.push_back(image);
    }
    return index;
}

WorkerInterference InterferenceTable::assess(const WorkerLink &link)
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

void InterferenceTable::addServer(WorkerInterference &worker, const LiveRun &run)
{
    const StepSpec &server = *run.step;
    const double limit = m_neighbours.limit(server);
    const double stressOverLimit = m_neighbours.stress(run).value_or(0) - limit;
    const double loadOverLimit = m_neighbours.expectedLoad(run.ref.task.step, server) - limit;
    const auto known = std::ranges::find(worker.servers, server.image, &WorkerInterference::Servers::image);
    if (known == worker.servers.end()) {
        worker.servers.push_back({ server.image, indexOf(server.image), 1, stressOverLimit, loadOverLimit });
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
