#pragma once

#include "jobids.h"
#include "units.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace currantring {

/** What a request to the admission service takes for a queue's steps, and how long its tickets are valid. */
struct AdmissionTerms
{
    /** Duration of a request apart from the workers that it names. */
    Milliseconds base {};
    /** Additional duration for each worker that it names. */
    Milliseconds perWorker {};
    Milliseconds validity {};

    /** Duration of a request that names @p workers. */
    [[nodiscard]] Milliseconds durationFor(std::size_t workers) const
    {
        return base + Milliseconds(perWorker.count() * static_cast<std::int64_t>(workers));
    }
};

/** A queue that jobs are submitted to. */
struct QueueEntry
{
    QueueName name;
    /** Host name and path prefix of the requests that are routed to the queue. */
    std::string host;
    std::string prefix;
    /** The service whose workers run the queue's tasks. */
    ServiceName service;
    /** 0 is the highest priority. */
    std::uint32_t priority = 0;
    /** Number of failed runs of one task after which its job fails. */
    std::uint32_t attemptLimit = 1;
    /** Latency objective of a job: its critical path times this factor, plus the target latency. */
    double stretch = 1;
    Milliseconds targetLatency {};
    Milliseconds timeout {};
    /** If set, steps need a ticket from the admission service, which admits each to some workers only. */
    std::optional<AdmissionTerms> admission;
};

/** A pool of workers. */
struct PoolEntry
{
    ServiceName name;
    /** The workers themselves refuse starts that exceed their capacity. */
    bool enforcesCapacity = false;
    /** The pool's machines are powered off. */
    bool isStandby = false;
};

/** Limits on callers' requests. */
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

    /** The queue of @p host with the longest matching prefix of @p path; null when there is none. */
    [[nodiscard]] const QueueEntry *route(std::string_view host, std::string_view path) const;
    /** Null when unknown. */
    [[nodiscard]] const QueueEntry *queue(const QueueName &name) const;
    [[nodiscard]] const PoolEntry *pool(const ServiceName &name) const;
};

} // namespace currantring
