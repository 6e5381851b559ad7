#pragma once

#include "chart.h"
#include "context.h"
#include "endpointhealth.h"
#include "endpointselector.h"
#include "learnedtime.h"
#include "slotcounter.h"
#include "workerrequest.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace currantring {

/** One endpoint whose slots this host counts. */
struct Endpoint
{
    WorkerInfo info;
    CommandFence fence;
    SlotCounter slots;
    EndpointHealth health;
    /** Grows with each time that this host takes the endpoint over; tells old sends from new ones. */
    std::uint64_t generation = 0;
    LearnedTime serviceTime;
    bool leavingByList = false;
    bool leavingByReport = false;
    std::optional<TimePoint> leavingByRefusal;
};

/** Bounds that follow from the configuration. */
struct EndpointLimits
{
    /** No request is sent with a longer deadline. */
    Milliseconds longestDeadline {};
    Milliseconds clockError {};
    Milliseconds reportInterval {};
};

/**
 * The endpoints whose slots this host counts, by worker and by service.
 *
 * Thread safety: one thread at a time.
 */
class EndpointTable
{
public:
    /** Precondition: both outlive the table. */
    EndpointTable(Context &context, const Chart &chart);

    void setLimits(const EndpointLimits &limits);
    [[nodiscard]] const EndpointLimits &limits() const;
    /** Starts counting and gives true; an endpoint that is there under the same fence is only updated. */
    bool add(const WorkerInfo &worker, CommandFence fence, bool freshlyKnown);
    /** Does nothing for an unknown worker. */
    void update(const WorkerInfo &worker);
    void remove(const WorkerId &worker);
    void applyReport(const WorkerReport &report);
    /** The endpoint itself said that it takes no new requests. */
    void noteRefusedLeaving(Endpoint &endpoint);

    /** Null when this host doesn't count the worker's slots, or took it over anew since @p generation. */
    Endpoint *find(const WorkerId &worker, std::uint64_t generation);
    /**
     * Takes a slot on the best endpoint for @p service; null when none is free. Workers in @p tried come last. A
     * shed endpoint whose probe is due comes first when the request @p mayProbe.
     */
    Endpoint *take(const ServiceName &service, const std::set<WorkerId> &tried, bool mayProbe);

    /** Whether an endpoint for @p service stays (it may be shed or have no free slot). */
    [[nodiscard]] bool serves(const ServiceName &service) const;
    /** Whether take() would find a slot for a request of any kind. */
    [[nodiscard]] bool hasSlotNow(const ServiceName &service) const;
    /** Slots of the live endpoints for @p service: all, and the free ones. */
    [[nodiscard]] std::uint32_t slotsFor(const ServiceName &service) const;
    [[nodiscard]] std::uint32_t freeSlotsFor(const ServiceName &service) const;
    /** The services that some endpoint offers, sorted. */
    [[nodiscard]] std::vector<ServiceName> services() const;
    /** When time alone may next free a slot or start a probe for @p service. */
    [[nodiscard]] std::optional<TimePoint> nextWake(const ServiceName &service) const;

private:
    Endpoint *takeProbe(const ServiceName &service);
    Endpoint *takeLive(const ServiceName &service, const std::set<WorkerId> &tried, bool onlyUntried);
    /** Whether requests that this host sent to @p worker before it gave it up may still run. */
    bool forgetFormer(const WorkerId &worker);
    void followLeaving(Endpoint &endpoint);
    void rebuildIndex();

    Context &m_context;
    const Chart &m_chart;
    EndpointLimits m_limits;
    LeastLoadedSelector m_selector;
    std::uint64_t m_generation = 0;
    std::map<WorkerId, std::unique_ptr<Endpoint>> m_endpoints;
    std::map<ServiceName, std::vector<Endpoint *>> m_byService;
    /** Endpoints that were given up, and when the last request sent to them has ended. */
    std::map<WorkerId, TimePoint> m_former;
};

} // namespace currantring
