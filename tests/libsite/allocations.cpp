#include "allocations.h"

#include <algorithm>
#include <cstdlib>
#include <new>

#include <malloc.h>

namespace {

struct Counters
{
    bool isCounting = false;
    std::size_t held = 0;
    std::size_t peak = 0;
    std::size_t count = 0;
};

thread_local Counters counters;

} // namespace

#if defined(__has_feature)
#if __has_feature(address_sanitizer) || __has_feature(thread_sanitizer)
#define CURRANTRING_HAS_SANITIZER
#endif
#endif

#ifndef CURRANTRING_HAS_SANITIZER
void *operator new(std::size_t bytes)
{
    void *const memory = std::malloc(std::max<std::size_t>(bytes, 1));
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    if (counters.isCounting) {
        counters.held += ::malloc_usable_size(memory);
        counters.peak = std::max(counters.peak, counters.held);
        ++counters.count;
    }
    return memory;
}

void operator delete(void *memory) noexcept
{
    if (counters.isCounting && memory != nullptr) {
        // What was taken before isn't counted.
        counters.held -= std::min(counters.held, ::malloc_usable_size(memory));
    }
    std::free(memory);
}

void operator delete(void *memory, std::size_t /*bytes*/) noexcept
{
    operator delete(memory);
}
#endif

Allocations::Allocations()
{
    counters = { true, 0, 0, 0 };
}

Allocations::~Allocations()
{
    counters.isCounting = false;
}

std::size_t Allocations::peakBytes() const
{
    return counters.peak;
}

std::size_t Allocations::count() const
{
    return counters.count;
}
