#include "indexset.h"

#include <iterator>

namespace currantring {

IndexSet::Iterator::Iterator(Ranges::const_iterator range, std::uint32_t number)
    : m_range(range)
    , m_number(number)
{
}

std::uint32_t IndexSet::Iterator::operator*() const
{
    return m_range->first + m_number;
}

IndexSet::Iterator &IndexSet::Iterator::operator++()
{
    ++m_number;
    if (m_range->first + m_number == m_range->second) {
        ++m_range;
        m_number = 0;
    }
    return *this;
}

IndexSet::Iterator IndexSet::Iterator::operator++(int)
{
    const Iterator before = *this;
    ++*this;
    return before;
}

IndexSet::Ranges::const_iterator IndexSet::rangeOf(std::uint32_t number) const
{
    const auto next = m_ranges.upper_bound(number);
    if (next == m_ranges.begin()) {
        return m_ranges.end();
    }
    const auto range = std::prev(next);
    return number < range->second ? range : m_ranges.end();
}

void IndexSet::insert(std::uint32_t number)
{
    if (contains(number)) {
        return;
    }
    ++m_size;
    const auto next = m_ranges.upper_bound(number);
    const bool joinsNext = next != m_ranges.end() && next->first == number + 1;
    const std::uint32_t end = joinsNext ? next->second : number + 1;
    const bool joinsPrevious = next != m_ranges.begin() && std::prev(next)->second == number;
    if (joinsPrevious) {
        std::prev(next)->second = end;
    } else {
        m_ranges.emplace_hint(next, number, end);
    }
    if (joinsNext) {
        m_ranges.erase(next);
    }
}

void IndexSet::erase(std::uint32_t number)
{
    const auto range = rangeOf(number);
    if (range == m_ranges.end()) {
        return;
    }
    --m_size;
    const auto [first, end] = *range;
    m_ranges.erase(range);
    if (first < number) {
        m_ranges.emplace(first, number);
    }
    if (number + 1 < end) {
        m_ranges.emplace(number + 1, end);
    }
}

bool IndexSet::contains(std::uint32_t number) const
{
    return rangeOf(number) != m_ranges.end();
}

std::size_t IndexSet::size() const
{
    return m_size;
}

bool IndexSet::empty() const
{
    return m_size == 0;
}

std::size_t IndexSet::ranges() const
{
    return m_ranges.size();
}

IndexSet::Iterator IndexSet::begin() const
{
    return { m_ranges.begin(), 0 };
}

IndexSet::Iterator IndexSet::end() const
{
    return { m_ranges.end(), 0 };
}

} // namespace currantring
