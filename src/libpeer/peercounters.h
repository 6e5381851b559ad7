#pragma once

#include "peertransport.h"

#include <atomic>

namespace currantring {

/** The totals of PeerTransportCounts while they grow. Thread safety: every member may be used from any thread. */
struct PeerCounters
{
    std::atomic<std::uint64_t> bytesIn { 0 };
    std::atomic<std::uint64_t> bytesOut { 0 };
    std::atomic<std::uint64_t> messagesIn { 0 };
    std::atomic<std::uint64_t> messagesOut { 0 };
    std::atomic<std::uint64_t> dropped { 0 };
    std::atomic<std::uint64_t> unconfirmed { 0 };
    std::atomic<std::uint64_t> oversize { 0 };
    std::atomic<std::uint64_t> garbage { 0 };
    std::atomic<std::uint64_t> silent { 0 };
    std::atomic<std::uint64_t> connected { 0 };
    std::atomic<std::uint64_t> lost { 0 };
    std::atomic<std::uint64_t> refused { 0 };
};

} // namespace currantring
