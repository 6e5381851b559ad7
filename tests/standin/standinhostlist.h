#pragma once

#include "storerequest.h"

#include <map>
#include <utility>
#include <vector>

namespace currantring {

/**
 * The platform's list of workers, served with a lag. Pure; time is passed in and never goes back.
 *
 * Thread safety: one thread at a time.
 */
class StandinHostList
{
public:
    explicit StandinHostList(Milliseconds lag = {});

    /** Adds the worker or replaces what the list says of it. */
    void setWorker(const WorkerInfo &info, TimePoint now);
    void removeWorker(const WorkerId &worker, TimePoint now);
    /** The list as it was one lag before @p now, in order of ids; the first list is seen at once. */
    [[nodiscard]] std::vector<WorkerInfo> served(TimePoint now) const;

private:
    using Workers = std::map<WorkerId, WorkerInfo>;

    void noteChange(TimePoint now);

    Milliseconds m_lag;
    Workers m_workers;
    /** Changed lists with the time from which on they are true. */
    std::vector<std::pair<TimePoint, Workers>> m_history;
};

} // namespace currantring
