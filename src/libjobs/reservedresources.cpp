#include "reservedresources.h"

namespace currantring {

namespace {

Millicores adjusted(Millicores amount, Millicores change, std::int64_t sign)
{
    return Millicores(amount.value() + sign * change.value());
}

} // namespace

void ReservedResources::add(const LiveRun &run)
{
    adjust(run, 1);
}

void ReservedResources::remove(const LiveRun &run)
{
    adjust(run, -1);
}

void ReservedResources::adjust(const LiveRun &run, std::int64_t sign)
{
    if (!run.step) {
        m_unknownRuns += sign;
        return;
    }
    Resources need = run.step->need;
    if (run.isFiller()) {
        m_fillerDemand = adjusted(m_fillerDemand, need.processors, sign);
        need.processors = Millicores(0);
    }
    if (run.isServing()) {
        m_servingDemand = adjusted(m_servingDemand, need.processors, sign);
        m_servingRuns += sign;
    }
    if (sign > 0) {
        m_held += need;
    } else {
        m_held -= need;
    }
    if (run.step->isLasting && sign > 0) {
        m_heldByLasting += need;
    } else if (run.step->isLasting) {
        m_heldByLasting -= need;
    }
}

const Resources &ReservedResources::held() const
{
    return m_held;
}

const Resources &ReservedResources::heldByLasting() const
{
    return m_heldByLasting;
}

Millicores ReservedResources::fillerDemand() const
{
    return m_fillerDemand;
}

std::int64_t ReservedResources::servingRuns() const
{
    return m_servingRuns;
}

Millicores ReservedResources::servingDemand() const
{
    return m_servingDemand;
}

bool ReservedResources::hasRunOfUnknownSize() const
{
    return m_unknownRuns > 0;
}

} // namespace currantring
