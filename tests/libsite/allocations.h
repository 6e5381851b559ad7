#pragma once

#include <cstddef>

/**
 * Memory that the program takes between two moments, counted in its own operators new and delete.
 *
 * In a build with a sanitizer, which has operators of its own, nothing is counted.
 */
class Allocations
{
public:
    /** Counts from now on. Precondition: no other object exists. Thread safety: one thread at a time. */
    Allocations();
    ~Allocations();
    Allocations(const Allocations &) = delete;
    Allocations &operator=(const Allocations &) = delete;

    /** The most bytes that were held at once of those taken since. */
    [[nodiscard]] std::size_t peakBytes() const;
    [[nodiscard]] std::size_t count() const;
};
