#include "hostregistration.h"

namespace currantring {

namespace {

constexpr Milliseconds defaultTerm { 10'000 };
constexpr Milliseconds firstRetry { 200 };
constexpr Milliseconds longestRetry { 3000 };
constexpr int renewalsPerTerm = 3;

bool isAnswer(StoreError error)
{
    return error != StoreError::NotSent && error != StoreError::Unknown;
}

} // namespace

HostRegistration::HostRegistration(const HostId &self, Context &context, ReachHandler onReach)
    : m_context(context)
    , m_onReach(std::move(onReach))
    , m_key(std::string(hostKeyPrefix) + self.value())
    , m_term(defaultTerm)
    , m_backoff(firstRetry, longestRetry)
{
}

void HostRegistration::setTerm(Milliseconds term)
{
    m_term = term;
}

void HostRegistration::start(std::string value)
{
    m_value = std::move(value);
    grant();
}

void HostRegistration::withdraw()
{
    m_withdrawn = true;
    m_context.cancel(m_timer);
    remove();
}

void HostRegistration::grant()
{
    m_context.callStore(StoreGrantLease { m_term }, [this](const StoreResult &result) {
        if (!result) {
            handleError(result.error(), &HostRegistration::grant);
            return;
        }
        m_onReach(true);
        m_lease = result->lease;
        if (!m_withdrawn) {
            put();
        }
    });
}

void HostRegistration::put()
{
    m_context.callStore(StorePut { m_key, m_value, std::nullopt, m_lease }, [this](const StoreResult &result) {
        if (m_withdrawn) {
            // The removal may have overtaken this write.
            remove();
            return;
        }
        if (!result) {
            handleError(result.error(), &HostRegistration::put);
            return;
        }
        m_onReach(true);
        m_backoff.reset();
        m_context.log(LogLevel::Info, "host_registered", { { "lease", std::to_string(m_lease.value()) } });
        later(m_term / renewalsPerTerm, &HostRegistration::renew);
    });
}

void HostRegistration::renew()
{
    m_context.callStore(StoreRenewLease { m_lease }, [this](const StoreResult &result) {
        if (!result) {
            handleError(result.error(), &HostRegistration::renew);
            return;
        }
        m_onReach(true);
        m_backoff.reset();
        later(m_term / renewalsPerTerm, &HostRegistration::renew);
    });
}

void HostRegistration::handleError(StoreError error, void (HostRegistration::*again)())
{
    m_onReach(isAnswer(error));
    if (error == StoreError::LeaseLapsed) {
        m_context.log(LogLevel::Warning, "host_lease_lapsed", { { "lease", std::to_string(m_lease.value()) } });
        again = &HostRegistration::grant;
    }
    later(m_backoff.next(m_context.random()), again);
}

void HostRegistration::later(Milliseconds delay, void (HostRegistration::*step)())
{
    if (!m_withdrawn) {
        m_timer = m_context.schedule(delay, [this, step] { (this->*step)(); });
    }
}

void HostRegistration::remove()
{
    // When it fails, the entry vanishes with its lease.
    m_context.callStore(StoreDelete { m_key }, [](const StoreResult & /*result*/) {});
}

} // namespace currantring
