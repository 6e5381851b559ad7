#pragma once

#include "jobids.h"
#include "units.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace currantring {

/** A queue that jobs are submitted to. */
struct QueueEntry
{
    QueueName name;
    /** Callers reach the queue under this host name and the paths that begin with the prefix. */
    std::string host;
    std::string prefix;
    /** The service whose workers run the queue's tasks. */
    ServiceName service;
    /** 0 comes first. */
    std::uint32_t priority = 0;
    /** Failed runs of one task after which its job has failed. */
    std::uint32_t attemptLimit = 1;
    /** The objective is this many times the job's longest chain of work, and the target latency more. */
    double stretch = 1;
    Milliseconds targetLatency {};
    Milliseconds timeout {};
    /** The queue's policy admits each step to some workers only. */
    bool needsAdmission = false;
};

/** A pool of workers. */
struct PoolEntry
{
    ServiceName name;
    /** The workers refuse starts that don't fit. */
    bool guardsCapacity = false;
    /** The machines are off. */
    bool isStandby = false;
};

/** Bounds on what callers may send. */
struct CallerLimits
{
    std::uint32_t headerBytes = 16'384;
    std::size_t bodyBytes = 262'144;
    Milliseconds requestTimeout { 3000 };
    Milliseconds idleTimeout { 15'000 };
};

/** One version of the site's configuration. */
struct SiteConfiguration
{
    ConfigurationVersion version;
    std::vector<QueueEntry> queues;
    std::vector<PoolEntry> pools;
    CallerLimits limits;

    /** The queue with the longest prefix that @p path begins with under @p host; null when there is none. */
    [[nodiscard]] const QueueEntry *route(std::string_view host, std::string_view path) const;
    /** Null when unknown. */
    [[nodiscard]] const QueueEntry *queue(const QueueName &name) const;
    [[nodiscard]] const PoolEntry *pool(const ServiceName &name) const;
};

} // namespace currantring
