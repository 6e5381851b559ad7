#include "callercall.h"

#include <array>

namespace currantring {

std::string_view callName(const CallerCall &call)
{
    constexpr std::array<std::string_view, 4> names { "submit", "read", "cancel", "count" };
    return names.at(call.index());
}

const std::string &callSubject(const CallerCall &call)
{
    if (const auto *submit = std::get_if<SubmitJob>(&call)) {
        return submit->spec->id.value();
    }
    if (const auto *read = std::get_if<ReadJob>(&call)) {
        return read->job.value();
    }
    if (const auto *cancel = std::get_if<CancelJob>(&call)) {
        return cancel->job.value();
    }
    return std::get<CountWaiting>(call).queue.value();
}

std::string_view callOutcomeName(CallOutcome outcome)
{
    constexpr std::array<std::string_view, 5> names { "accepted", "found", "unknown", "refused", "undecided" };
    return names.at(static_cast<std::size_t>(outcome));
}

} // namespace currantring
