#include "evacuationreport.h"

#include "jobevents.h"

namespace currantring {

EvacuationReport::EvacuationReport(const EvacuationList &evacuations, const WorkerFleet &fleet, JobContext &context)
    : m_evacuations(evacuations)
    , m_fleet(fleet)
    , m_context(context)
{
}

void EvacuationReport::update()
{
    if (!m_fleet.isListed()) {
        return;
    }
    for (const auto &[dataCentre, evacuation] : m_evacuations.evacuations()) {
        if (!m_reported.contains(dataCentre)) {
            reportBegin(dataCentre, evacuation);
        }
        if (Reported &reported = m_reported.at(dataCentre); !reported.isDrained) {
            reportDrained(dataCentre, reported);
        }
    }
    std::erase_if(m_reported, [this](const auto &entry) {
        const bool isOver = !m_evacuations.isEvacuated(entry.first);
        if (isOver) {
            reportEnd(entry.first, entry.second);
        }
        return isOver;
    });
}

EvacuationReport::Load EvacuationReport::loadOf(const DataCentreId &dataCentre) const
{
    Load load;
    for (const auto &[id, link] : m_fleet.links()) {
        if (link->entry().dataCentre != dataCentre) {
            continue;
        }
        load.workers += link->isListed() ? 1 : 0;
        load.runs += link->runs().size();
        for (const auto &[ref, run] : link->runs()) {
            load.batchRuns += run.step && run.step->isLasting ? 0 : 1;
        }
    }
    return load;
}

void EvacuationReport::reportBegin(const DataCentreId &dataCentre, const EvacuationList::Evacuation &evacuation)
{
    const Load load = loadOf(dataCentre);
    m_reported[dataCentre].since = evacuation.since;
    m_context.count("evacuations_begun");
    m_context.log(LogLevel::Info, events::evacuationBegun,
                  { { "zone", dataCentre.value() },
                    { "revision", std::to_string(evacuation.revision.value()) },
                    { "workers", std::to_string(load.workers) },
                    { "runs", std::to_string(load.runs) },
                    { "age_ms", std::to_string(m_evacuations.age().count()) } });
}

void EvacuationReport::reportDrained(const DataCentreId &dataCentre, Reported &reported)
{
    const Load load = loadOf(dataCentre);
    if (load.batchRuns > 0) {
        return;
    }
    reported.isDrained = true;
    m_context.log(
        LogLevel::Info, events::evacuationDrained,
        { { "zone", dataCentre.value() }, { "runs", std::to_string(load.runs) }, { "after_ms", ageOf(reported) } });
}

void EvacuationReport::reportEnd(const DataCentreId &dataCentre, const Reported &reported)
{
    m_context.count("evacuations_ended");
    m_context.log(LogLevel::Info, events::evacuationEnded,
                  { { "zone", dataCentre.value() },
                    { "runs", std::to_string(loadOf(dataCentre).runs) },
                    { "after_ms", ageOf(reported) } });
}

std::string EvacuationReport::ageOf(const Reported &reported) const
{
    return std::to_string((m_context.now() - reported.since).count());
}

} // namespace currantring
