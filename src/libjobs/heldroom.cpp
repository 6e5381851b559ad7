#include "heldroom.h"

namespace currantring {

namespace {

Millicores sum(Millicores amount, Millicores change, std::int64_t sign)
{
    return Millicores(amount.value() + sign * change.value());
}

} // namespace

void HeldRoom::add(const LiveRun &run)
{
    count(run, 1);
}

void HeldRoom::remove(const LiveRun &run)
{
    count(run, -1);
}

void HeldRoom::count(const LiveRun &run, std::int64_t sign)
{
    if (!run.step) {
        m_unknownRuns += sign;
        return;
    }
    Resources need = run.step->need;
    if (run.isFiller()) {
        m_fillerDemand = sum(m_fillerDemand, need.processors, sign);
        need.processors = Millicores(0);
    }
    if (run.isServing()) {
        m_servingDemand = sum(m_servingDemand, need.processors, sign);
        m_servingRuns += sign;
    }
    if (sign > 0) {
        m_held += need;
    } else {
        m_held -= need;
    }
}

const Resources &HeldRoom::held() const
{
    return m_held;
}

Millicores HeldRoom::fillerDemand() const
{
    return m_fillerDemand;
}

std::int64_t HeldRoom::servingRuns() const
{
    return m_servingRuns;
}

Millicores HeldRoom::servingDemand() const
{
    return m_servingDemand;
}

bool HeldRoom::holdsUnknown() const
{
    return m_unknownRuns > 0;
}

} // namespace currantring
