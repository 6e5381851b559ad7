#include "evacuationlist.h"

#include "jobevents.h"

#include <algorithm>
#include <utility>

namespace currantring {

namespace {

/**
 * Part of the bound that isn't available to the list's age: a start order may arrive 1,500 ms after it was sent, and
 * worker clocks are up to 2 % slow.
 */
constexpr Milliseconds startReserve { 2000 };
constexpr Milliseconds minMaxAge { 1000 };
/**
 * A watch that is answered at the end of its wait proves the state at its beginning only, so the known state is up to
 * two waits old. A third of the greatest age leaves time to list again after one unanswered watch.
 */
constexpr int waitsPerMaxAge = 3;
/** Minimum interval at which a list that is too old is requested again. */
constexpr Milliseconds refreshInterval { 500 };

} // namespace

EvacuationList::EvacuationList(std::string prefix, Milliseconds bound, JobContext &context, Handlers handlers)
    : m_prefix(std::move(prefix))
    , m_context(context)
    , m_handlers(std::move(handlers))
    , m_maxAge(std::max(bound - startReserve, minMaxAge))
{
    if (m_prefix.empty()) {
        return;
    }
    m_watch.emplace(m_prefix, m_context,
                    PrefixWatch::Handlers { [this](const KvEntry &entry) { applyEntry(entry); },
                                            [this] {
                                                m_handlers.onSynced();
                                            } });
    m_watch->setWait(m_maxAge / waitsPerMaxAge);
}

void EvacuationList::start()
{
    if (m_watch) {
        m_watch->start();
    }
}

bool EvacuationList::isEvacuated(const DataCentreId &dataCentre) const
{
    return !m_evacuations.empty() && m_evacuations.contains(dataCentre);
}

bool EvacuationList::isSynced() const
{
    return !m_watch || (m_watch->isSynced() && age() <= m_maxAge);
}

bool EvacuationList::confirm()
{
    if (isSynced()) {
        noteCurrent();
        return true;
    }
    if (!m_watch->isSynced()) {
        // The first listing is under way, or is tried again.
        return false;
    }
    noteStale();
    const TimePoint now = m_context.now();
    if (!m_refreshedAt || now - *m_refreshedAt >= refreshInterval) {
        m_refreshedAt = now;
        m_watch->refresh();
    }
    return false;
}

Milliseconds EvacuationList::age() const
{
    const std::optional<TimePoint> asOf = m_watch ? m_watch->currentAsOf() : std::nullopt;
    return asOf ? m_context.now() - *asOf : Milliseconds(0);
}

const std::map<DataCentreId, EvacuationList::Evacuation> &EvacuationList::evacuations() const
{
    return m_evacuations;
}

void EvacuationList::applyEntry(const KvEntry &entry)
{
    const DataCentreId dataCentre(entry.key.substr(m_prefix.size()));
    if (entry.isDeleted) {
        m_evacuations.erase(dataCentre);
        m_handlers.onChange(dataCentre);
        return;
    }
    const auto [place, isNew] = m_evacuations.try_emplace(dataCentre, Evacuation { entry.revision, m_context.now() });
    place->second.revision = entry.revision;
    if (isNew) {
        m_handlers.onChange(dataCentre);
    }
}

void EvacuationList::noteStale()
{
    if (!m_staleSince) {
        m_staleSince = m_context.now();
        m_context.count("evacuation_list_stale");
        m_context.log(LogLevel::Warning, events::evacuationListStale, { { "age_ms", std::to_string(age().count()) } });
    }
}

void EvacuationList::noteCurrent()
{
    if (const auto since = std::exchange(m_staleSince, std::nullopt)) {
        m_context.log(LogLevel::Info, events::evacuationListCurrent,
                      { { "age_ms", std::to_string(age().count()) },
                        { "after_ms", std::to_string((m_context.now() - *since).count()) } });
    }
}

} // namespace currantring
