#include "writerliveness.h"

#include <utility>

namespace currantring {

namespace {

constexpr Milliseconds renewTimeout { 400 };

} // namespace

WriterLiveness::WriterLiveness(StoreLayout layout, Milliseconds leaseTerm, JobContext &context,
                               std::function<void(const KvEntry &entry)> onConflict)
    : m_layout(layout)
    , m_leaseTerm(leaseTerm)
    , m_context(context)
    , m_onConflict(std::move(onConflict))
{
}

void WriterLiveness::setLease(LeaseId lease)
{
    m_lease = lease;
}

void WriterLiveness::start(WriterToken token)
{
    m_token = token;
    keepAlive();
}

void WriterLiveness::stop()
{
    m_token.reset();
    m_lease.reset();
    m_isYielding = false;
}

void WriterLiveness::end()
{
    if (m_lease) {
        m_context.callStore(KvEndLease { *m_lease }, renewTimeout, [](const KvResult & /*result*/) {
            // The lease expires by itself if the request is lost.
        });
    }
    stop();
}

void WriterLiveness::restore()
{
    if (m_token) {
        m_lease.reset();
        grant();
    }
}

void WriterLiveness::setYielding(bool isYielding)
{
    if (m_token && std::exchange(m_isYielding, isYielding) != isYielding) {
        write();
    }
}

void WriterLiveness::keepAlive()
{
    m_context.schedule(m_leaseTerm / 3, m_lifetime.guard([this, token = m_token] {
        if (!m_token || m_token != token) {
            return;
        }
        if (m_lease) {
            m_context.callStore(KvRenewLease { *m_lease }, renewTimeout,
                                m_lifetime.guard([this](const KvResult &result) {
                                    if (!result && result.error().kind == KvErrorKind::LeaseGone) {
                                        restore();
                                    }
                                }));
        } else {
            grant();
        }
        keepAlive();
    }));
}

void WriterLiveness::grant()
{
    m_context.callStore(KvGrantLease { m_leaseTerm }, renewTimeout, m_lifetime.guard([this](const KvResult &result) {
        if (result && m_token) {
            m_lease = result->lease;
            write();
        }
    }));
}

void WriterLiveness::write()
{
    if (!m_lease) {
        return;
    }
    KvCommit commit;
    commit.conditions = { { m_layout.claimKey(), StoreRevision(m_token->value()) } };
    commit.puts = { { m_layout.aliveKey(), std::string(m_isYielding ? yielding : alive), m_lease } };
    m_context.callStore(std::move(commit), renewTimeout, m_lifetime.guard([this](const KvResult &result) {
        if (!result && result.error().kind == KvErrorKind::Conflict) {
            for (const KvEntry &entry : result.error().entries) {
                m_onConflict(entry);
            }
        }
    }));
}

} // namespace currantring
