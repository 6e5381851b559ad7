#include "admissionbatch.h"

#include <algorithm>

namespace currantring {

namespace {

/** Distribution of the number of tasks that the admitted workers have room for, up to the number that is needed. */
class AdmittedSlots
{
public:
    explicit AdmittedSlots(std::size_t needed)
        : m_probability(needed + 1, 0.0)
    {
        m_probability.front() = 1;
    }

    void addWorker(std::size_t slots, double admittedShare)
    {
        const std::size_t needed = m_probability.size() - 1;
        for (std::size_t have = needed; have-- > 0;) {
            const double before = m_probability[have];
            m_probability[std::min(have + slots, needed)] += before * admittedShare;
            m_probability[have] = before * (1 - admittedShare);
        }
    }

    [[nodiscard]] double expected() const
    {
        double sum = 0;
        for (std::size_t have = 0; have < m_probability.size(); ++have) {
            sum += static_cast<double>(have) * m_probability[have];
        }
        return sum;
    }

    [[nodiscard]] double probabilityOfAll() const
    {
        return m_probability.back();
    }

private:
    std::vector<double> m_probability;
};

} // namespace

std::size_t admissionBatchSize(const std::vector<AdmissionCandidate> &candidates, const AdmissionNeed &need,
                               const AdmissionTerms &terms, double admittedShare, std::size_t limit)
{
    const std::size_t most = std::min(limit, candidates.size());
    AdmittedSlots slots(need.tasks);
    std::size_t best = most;
    double bestYield = 0;
    for (std::size_t size = 1; size <= most; ++size) {
        slots.addWorker(candidates[size - 1].slots, admittedShare);
        const double starts = need.needsAll ? slots.probabilityOfAll() : slots.expected();
        const double yield = starts / static_cast<double>(std::max(terms.durationFor(size), Milliseconds(1)).count());
        if (yield > bestYield) {
            bestYield = yield;
            best = size;
        }
    }
    return best;
}

} // namespace currantring
