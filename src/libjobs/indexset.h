#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

namespace currantring {

/**
 * A set of numbers that takes memory by its ranges of successive ones, not by its numbers.
 *
 * For tasks that wait: those of a step wait all at first, and are taken from the front mostly. Thread safety: one
 * thread at a time.
 */
class IndexSet
{
    /** The first number of each range, and the number after its last. */
    using Ranges = std::map<std::uint32_t, std::uint32_t>;

public:
    /** Goes through the numbers in their order; the set mustn't change meanwhile. */
    class Iterator
    {
    public:
        using value_type = std::uint32_t;
        using difference_type = std::ptrdiff_t;

        Iterator() = default;
        std::uint32_t operator*() const;
        Iterator &operator++();
        Iterator operator++(int);
        bool operator==(const Iterator &) const = default;

    private:
        friend class IndexSet;
        Iterator(Ranges::const_iterator range, std::uint32_t number);

        Ranges::const_iterator m_range {};
        std::uint32_t m_number = 0;
    };

    void insert(std::uint32_t number);
    void erase(std::uint32_t number);
    [[nodiscard]] bool contains(std::uint32_t number) const;
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] bool empty() const;
    /** Ranges of successive numbers, each of which takes memory. */
    [[nodiscard]] std::size_t ranges() const;
    [[nodiscard]] Iterator begin() const;
    [[nodiscard]] Iterator end() const;

private:
    /** The range that holds @p number, or the end. */
    [[nodiscard]] Ranges::const_iterator rangeOf(std::uint32_t number) const;

    Ranges m_ranges;
    std::size_t m_size = 0;
};

} // namespace currantring
