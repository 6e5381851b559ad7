#pragma once

#include "finding.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace currantring {

/**
 * A state chart read from a subset of W3C SCXML (state, final, transition with event and target, initial).
 *
 * Immutable after loading. Thread safety: all methods are reentrant.
 */
class Chart
{
public:
    /**
     * Reads and checks the chart in @p path. Findings carry file and line: unreadable file, unknown element,
     * unknown target, unreachable state, state without a way out that isn't final, duplicate state or event.
     */
    static tl::expected<Chart, Findings> load(const std::string &path);

    [[nodiscard]] const std::string &name() const;
    [[nodiscard]] const std::string &initial() const;
    /** Target of @p event in @p state, or nullopt when the chart has no such transition. */
    [[nodiscard]] std::optional<std::string> next(std::string_view state, std::string_view event) const;
    [[nodiscard]] bool isFinal(std::string_view state) const;
    [[nodiscard]] std::vector<std::string> states() const;
    /** Every event named by a transition, sorted. */
    [[nodiscard]] std::vector<std::string> events() const;

private:
    struct Data;
    std::shared_ptr<const Data> m_data;
};

/** The life cycles that the daemon interprets. */
struct ChartSet
{
    Chart task;
    Chart attempt;
    Chart endpoint;
    Chart peerLink;
    Chart daemon;

    /**
     * Loads `task.scxml`, `attempt.scxml`, `endpoint.scxml`, `peerlink.scxml` and `daemon.scxml` from
     * @p directory, and checks that each has every event that the code sends. Thread safety: reentrant.
     */
    static tl::expected<ChartSet, Findings> load(const std::string &directory);
};

} // namespace currantring
