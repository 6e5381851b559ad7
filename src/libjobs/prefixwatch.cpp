#include "prefixwatch.h"

#include "jobevents.h"

#include <algorithm>

namespace currantring {

namespace {

constexpr Milliseconds defaultWait { 5000 };
/** Added to the wait of a watch to give the timeout of its call. */
constexpr Milliseconds answerMargin { 500 };
constexpr Milliseconds listTimeout { 1500 };
constexpr Milliseconds initialBackoff { 50 };
constexpr Milliseconds maxBackoff { 800 };

} // namespace

PrefixWatch::PrefixWatch(std::string prefix, JobContext &context, Handlers handlers)
    : m_prefix(std::move(prefix))
    , m_context(context)
    , m_handlers(std::move(handlers))
    , m_wait(defaultWait)
{
}

void PrefixWatch::start()
{
    refresh();
}

void PrefixWatch::setWait(Milliseconds wait)
{
    m_wait = wait;
    if (m_pendingWait && *m_pendingWait > wait) {
        refresh();
    }
}

void PrefixWatch::poll(Milliseconds interval)
{
    m_pollInterval = interval;
}

void PrefixWatch::refresh()
{
    if (m_isListing) {
        // Restarting at each call would never finish a listing that takes longer than the time between two calls.
        return;
    }
    ++m_round;
    m_pendingWait.reset();
    m_listed.clear();
    list({});
}

std::optional<TimePoint> PrefixWatch::lastAnswer() const
{
    return m_lastAnswer;
}

std::optional<TimePoint> PrefixWatch::currentAsOf() const
{
    return m_currentAsOf;
}

bool PrefixWatch::isSynced() const
{
    return m_isSynced;
}

void PrefixWatch::list(const std::string &after)
{
    m_isListing = true;
    if (after.empty()) {
        m_listBegunAt = m_context.now();
    }
    m_context.callStore(KvList { m_prefix, after, false }, listTimeout,
                        m_lifetime.guard([this, round = m_round](const KvResult &result) {
                            if (round == m_round) {
                                handleList(result);
                            }
                        }));
}

void PrefixWatch::handleList(const KvResult &result)
{
    m_isListing = false;
    if (!result) {
        m_listed.clear();
        retryList();
        return;
    }
    m_backoff = {};
    m_lastAnswer = m_context.now();
    if (m_listed.empty()) {
        // Later pages may be newer; the watch starts at the first page's revision so that it misses no change.
        m_revision = result->revision;
    }
    for (const KvEntry &entry : result->entries) {
        m_listed[entry.key] = entry.revision;
        applyEntry(entry);
    }
    if (result->hasMore && !result->entries.empty()) {
        list(result->entries.back().key);
    } else {
        finishList();
    }
}

void PrefixWatch::finishList()
{
    std::vector<std::string> deletedKeys;
    for (const auto &[key, revision] : m_known) {
        if (!m_listed.contains(key) && revision <= m_revision) {
            deletedKeys.push_back(key);
        }
    }
    for (const std::string &key : deletedKeys) {
        applyEntry({ key, {}, m_revision, true });
    }
    m_listed.clear();
    m_isSynced = true;
    m_currentAsOf = m_listBegunAt;
    m_handlers.onSynced();
    scheduleNext();
}

void PrefixWatch::scheduleNext()
{
    if (!m_pollInterval) {
        watch();
        return;
    }
    m_context.schedule(*m_pollInterval, m_lifetime.guard([this, round = m_round] {
        if (round == m_round) {
            list({});
        }
    }));
}

void PrefixWatch::watch()
{
    m_pendingWait = m_wait;
    m_watchBegunAt = m_context.now();
    m_context.callStore(KvWatch { m_prefix, m_revision, m_wait }, m_wait + answerMargin,
                        m_lifetime.guard([this, round = m_round](const KvResult &result) {
                            if (round == m_round) {
                                handleWatch(result);
                            }
                        }));
}

void PrefixWatch::handleWatch(const KvResult &result)
{
    m_pendingWait.reset();
    if (!result) {
        logFailedWatch(result.error());
        if (result.error().kind == KvErrorKind::HistoryGone) {
            refresh();
        } else {
            // A next watch could stay unanswered, too; only a listing tells what this one has missed.
            retryList();
        }
        return;
    }
    m_backoff = {};
    m_lastAnswer = m_context.now();
    m_currentAsOf = m_watchBegunAt;
    m_revision = std::max(m_revision, result->revision);
    for (const KvEntry &entry : result->entries) {
        applyEntry(entry);
    }
    watch();
}

void PrefixWatch::logFailedWatch(const KvError &error)
{
    if (error.kind == KvErrorKind::HistoryGone) {
        m_context.log(LogLevel::Info, events::watchHistoryGone,
                      { { "prefix", m_prefix }, { "revision", std::to_string(m_revision.value()) } });
    } else {
        m_context.log(LogLevel::Info, events::watchFailed,
                      { { "prefix", m_prefix },
                        { "reason", std::string(kvErrorName(error.kind)) },
                        { "after_ms", std::to_string((m_context.now() - m_watchBegunAt).count()) } });
    }
}

void PrefixWatch::retryList()
{
    m_backoff = std::clamp(m_backoff * 2, initialBackoff, maxBackoff);
    m_context.schedule(m_backoff, m_lifetime.guard([this, round = m_round] {
        if (round == m_round) {
            list({});
        }
    }));
}

void PrefixWatch::applyEntry(const KvEntry &entry)
{
    const auto known = m_known.find(entry.key);
    if (known != m_known.end() && entry.revision < known->second) {
        return;
    }
    const bool isRepeat = known != m_known.end() && entry.revision == known->second && !entry.isDeleted;
    if (entry.isDeleted) {
        if (known == m_known.end()) {
            return;
        }
        m_known.erase(known);
    } else {
        m_known[entry.key] = entry.revision;
    }
    if (!isRepeat) {
        m_handlers.onChange(entry);
    }
}

} // namespace currantring
