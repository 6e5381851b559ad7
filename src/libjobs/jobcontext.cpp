#include "jobcontext.h"

#include "jobevents.h"

#include <algorithm>

namespace currantring {

JobContext::JobContext(std::uint64_t seed, JobDriver driver)
    : m_random(seed)
    , m_driver(std::move(driver))
{
}

TimePoint JobContext::now() const
{
    return m_now;
}

WallTime JobContext::wallNow() const
{
    return m_wallNow;
}

Random &JobContext::random()
{
    return m_random;
}

/** Updates the clocks before running @p then; the time at which the process woke up may be out of date. */
template<typename Result>
std::function<void(const Result &)> JobContext::withCurrentTime(std::function<void(const Result &)> then)
{
    return [this, then = std::move(then)](const Result &result) {
        const JobTime time = m_driver.readTime();
        setTime(time.now, time.wallNow);
        then(result);
    };
}

void JobContext::callStore(KvRequest request, Milliseconds timeout, JobDriver::KvHandler then)
{
    m_driver.callStore(std::move(request), timeout,
                       withCurrentTime<KvResult>([this, then = std::move(then)](const KvResult &result) {
                           recordStoreResult(result);
                           then(result);
                       }));
}

void JobContext::recordStoreResult(const KvResult &result)
{
    const bool isUnavailable = !result
        && (result.error().kind == KvErrorKind::Refused || result.error().kind == KvErrorKind::NotSent
            || result.error().kind == KvErrorKind::Unknown);
    if (!result) {
        count("store_errors", kvErrorName(result.error().kind));
    }
    switch (m_storeHealth.recordOutcome(!isUnavailable, m_now)) {
    case StoreHealth::Change::Lost:
        log(LogLevel::Warning, events::storeLost, { { "reason", std::string(kvErrorName(result.error().kind)) } });
        break;
    case StoreHealth::Change::Regained:
        log(LogLevel::Info, events::storeRegained,
            { { "after_ms", std::to_string(m_storeHealth.outageDuration(m_now).count()) } });
        break;
    case StoreHealth::Change::None:
        break;
    }
}

void JobContext::callWorker(const WorkerTarget &target, WorkerOrder order, Milliseconds timeout,
                            JobDriver::WorkerHandler then)
{
    m_driver.callWorker(target, std::move(order), timeout, withCurrentTime(std::move(then)));
}

void JobContext::askAdmission(const StepRef &step, const std::vector<WorkerId> &workers, Milliseconds timeout,
                              JobDriver::AdmissionHandler then)
{
    m_driver.askAdmission(step, workers, timeout, withCurrentTime(std::move(then)));
}

void JobContext::sendPeer(const HostId &to, const JobMessage &message)
{
    m_driver.sendPeer(to, message);
}

void JobContext::linkPeer(const HostId &peer, const std::optional<Address> &address)
{
    m_driver.linkPeer(peer, address);
}

void JobContext::answerCaller(CallerToken caller, const CallAnswer &answer)
{
    m_driver.answerCaller(caller, answer);
}

void JobContext::log(LogLevel level, std::string_view name, LogFields fields)
{
    m_driver.log(LogEvent { level, std::string(name), std::move(fields) });
}

void JobContext::observe(std::string_view name, const QueueName &queue, std::string_view kind, Milliseconds duration)
{
    m_driver.observe(name, queue, kind, duration);
}

void JobContext::count(std::string_view name, std::string_view reason)
{
    m_driver.count(name, reason);
}

TimerId JobContext::schedule(Milliseconds delay, std::function<void()> then)
{
    return m_timers.schedule(m_now + std::max(delay, Milliseconds(0)), std::move(then));
}

void JobContext::cancel(TimerId timer)
{
    m_timers.cancel(timer);
}

void JobContext::advance(TimePoint now, WallTime wallNow)
{
    setTime(now, wallNow);
    m_timers.runDue(m_now);
}

void JobContext::setTime(TimePoint now, WallTime wallNow)
{
    m_now = std::max(m_now, now);
    m_wallNow = wallNow;
}

std::optional<TimePoint> JobContext::nextTimer() const
{
    return m_timers.next();
}

} // namespace currantring
