#include "chart.h"

#include <algorithm>
#include <array>
#include <initializer_list>

namespace currantring {

namespace {

struct ChartPart
{
    std::string_view fileName;
    Chart ChartSet::*member;
    /** Events that the code sends. */
    std::initializer_list<std::string_view> events;
};

const std::array<ChartPart, 5> &chartParts()
{
    static const std::array<ChartPart, 5> parts { {
        { "task.scxml",
          &ChartSet::task,
          { "place", "cancelled", "expired", "unplaceable", "move", "moved", "exhausted", "started", "notRun",
            "succeeded", "failed", "lost", "cancel", "evict", "checkpointed" } },
        { "attempt.scxml",
          &ChartSet::attempt,
          { "started", "notRun", "succeeded", "failed", "lost", "evict", "stop", "checkpointed", "stopped" } },
        { "endpoint.scxml", &ChartSet::endpoint, { "leave", "fail", "remove", "probe", "recover", "return" } },
        { "peerlink.scxml", &ChartSet::peerLink, { "connect", "close", "connected", "lost", "silent" } },
        { "daemon.scxml", &ChartSet::daemon, { "configured", "settled", "stop", "drained" } },
    } };
    return parts;
}

} // namespace

tl::expected<ChartSet, Findings> ChartSet::load(const std::string &directory)
{
    ChartSet set;
    Findings findings;
    for (const ChartPart &part : chartParts()) {
        const std::string path = directory + "/" + std::string(part.fileName);
        tl::expected<Chart, Findings> chart = Chart::load(path);
        if (!chart) {
            findings.insert(findings.end(), chart.error().begin(), chart.error().end());
            continue;
        }
        const std::vector<std::string> events = chart->events();
        for (const std::string_view event : part.events) {
            if (std::ranges::find(events, event) == events.end()) {
                findings.push_back({ path, Severity::Error,
                                     "expected a transition for the event '" + std::string(event) + "', seen none" });
            }
        }
        set.*part.member = std::move(*chart);
    }
    if (hasErrors(findings)) {
        return tl::unexpected(std::move(findings));
    }
    return set;
}

} // namespace currantring
