#pragma once

#include "admission.h"
#include "taskref.h"
#include "workerentry.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace currantring {

/** Faults of the simulated admission service. */
enum class AdmissionFault { None, Silent, Refusing, Malformed };

/** Behaviour of the simulated admission service. */
struct VirtualAdmissionOptions
{
    /** Duration of a request, and the additional one for each worker that it names. */
    Milliseconds base { 50 };
    Milliseconds perWorker { 0 };
    Milliseconds validity { 3000 };
    /** Whether the validity of tickets counts from the arrival of the request, not from the answer. */
    bool countsFromRequest = false;
    std::function<bool(const StepRef &step, const WorkerEntry &worker)> admits;
};

/** Admits each job to about two thirds of the workers. */
bool admitsTwoThirds(const StepRef &step, const WorkerEntry &worker);

/**
 * The platform's admission service: it handles the requests of each host in turn, and refuses those of a host beyond a
 * number of waiting ones.
 *
 * Thread safety: one thread at a time.
 */
class VirtualAdmission
{
public:
    explicit VirtualAdmission(VirtualAdmissionOptions options);

    struct Turn
    {
        std::size_t number = 0;
        TimePoint answerAt {};
    };

    /** Queues a request that arrives at @p now; nullopt when it is refused. */
    std::optional<Turn> arrive(const HostId &host, std::size_t workers, TimePoint now);
    /** The answer to the request @p turn for @p step, which names @p workers. */
    AdmissionAnswer decide(const Turn &turn, const StepRef &step, const std::vector<WorkerEntry> &workers);
    /** Notes that a worker has started a task with @p ticket. */
    void noteStart(const std::string &ticket);

    VirtualAdmissionOptions &options();
    void setFault(AdmissionFault fault);
    [[nodiscard]] AdmissionFault fault() const;
    /** Makes requests that arrive from now on take longer by this factor. */
    void setSlowness(std::int64_t factor);

    [[nodiscard]] std::size_t requests() const;
    /** The most workers that one request named. */
    [[nodiscard]] std::size_t mostWorkersNamed() const;
    /** Share of the time that the service was busy that belongs to requests whose tickets were used for a start. */
    [[nodiscard]] double usefulShare() const;

private:
    struct Request
    {
        TimePoint arrivedAt {};
        Milliseconds duration {};
        bool isUseful = false;
    };

    VirtualAdmissionOptions m_options;
    AdmissionFault m_fault = AdmissionFault::None;
    std::int64_t m_slowness = 1;
    std::size_t m_mostWorkersNamed = 0;
    std::vector<Request> m_requests;
    /** When the requests of a host will be answered. */
    std::map<HostId, std::vector<TimePoint>> m_answers;
    std::map<std::string, std::size_t> m_requestsByTicket;
};

} // namespace currantring
