#pragma once

#include "strongtype.h"

#include <chrono>

namespace currantring {

using Milliseconds = std::chrono::milliseconds;

/** Clock of the decision code: driven by its caller, monotonic within one process. */
struct MonotonicClock
{
    using rep = std::int64_t;
    using period = std::milli;
    using duration = Milliseconds;
    using time_point = std::chrono::time_point<MonotonicClock>;
    static constexpr bool is_steady = true;
};
/** A moment of one process's monotonic clock; never compared across processes. */
using TimePoint = MonotonicClock::time_point;

/** Milliseconds since 1970-01-01 UTC; for deadlines in records. May step. */
using WallTime = Strong<std::int64_t, struct WallTimeTag>;
/** Reading of one worker's own monotonic clock in milliseconds; compared only with readings of that worker. */
using WorkerTime = Strong<std::int64_t, struct WorkerTimeTag>;

/** Thousandths of a processor core. */
using Millicores = Strong<std::int64_t, struct MillicoresTag>;
using Mebibytes = Strong<std::int64_t, struct MebibytesTag>;
using AcceleratorCount = Strong<std::int64_t, struct AcceleratorCountTag>;

/** Amounts of each resource that a task needs or a worker has. */
struct Resources
{
    Millicores processors {};
    Mebibytes memory {};
    AcceleratorCount accelerators {};

    bool operator==(const Resources &) const = default;

    /** Whether @p need fits into these amounts in every resource. */
    [[nodiscard]] bool covers(const Resources &need) const;
    Resources &operator+=(const Resources &other);
    Resources &operator-=(const Resources &other);
};

Resources operator+(Resources left, const Resources &right);
Resources operator-(Resources left, const Resources &right);
void to_json(nlohmann::json &json, const Resources &resources);
void from_json(const nlohmann::json &json, Resources &resources);

} // namespace currantring
