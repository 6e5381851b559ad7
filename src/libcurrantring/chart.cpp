#include "chart.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

#include <pugixml.hpp>

namespace currantring {

namespace {

struct State
{
    bool final = false;
    std::size_t line = 0;
    std::map<std::string, std::string, std::less<>> transitions;
    std::map<std::string, std::size_t> transitionLines;
};

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream text;
    if (!stream || !(text << stream.rdbuf())) {
        return std::nullopt;
    }
    return text.str();
}

} // namespace

struct Chart::Data
{
    std::string name;
    std::string initial;
    std::map<std::string, State, std::less<>> states;
};

namespace {

/** Reads one chart and collects what is wrong with it. */
class ChartReader
{
public:
    ChartReader(std::string path, const std::string &text)
        : m_path(std::move(path))
        , m_text(text)
    {
    }

    void read(std::string &name, std::string &initial, std::map<std::string, State, std::less<>> &states)
    {
        pugi::xml_document document;
        const pugi::xml_parse_result result = document.load_buffer(m_text.data(), m_text.size());
        if (!result) {
            report(lineAt(result.offset), std::string("expected well-formed XML, seen: ") + result.description());
            return;
        }
        const pugi::xml_node root = document.document_element();
        if (std::string_view(root.name()) != "scxml") {
            report(lineOf(root), std::string("expected the element scxml, seen ") + root.name());
            return;
        }
        name = root.attribute("name").value();
        initial = root.attribute("initial").value();
        for (const pugi::xml_node node : root.children()) {
            readState(node, states);
        }
        if (!states.contains(initial)) {
            report(lineOf(root), "expected a known state as initial, seen '" + initial + "'");
        }
        check(initial, states);
    }

    Findings takeFindings()
    {
        return std::move(m_findings);
    }

private:
    void report(std::size_t line, std::string message)
    {
        m_findings.push_back({ m_path + ":" + std::to_string(line), Severity::Error, std::move(message) });
    }

    [[nodiscard]] std::size_t lineAt(std::ptrdiff_t offset) const
    {
        const std::size_t end = std::min(m_text.size(), static_cast<std::size_t>(std::max<std::ptrdiff_t>(offset, 0)));
        return 1
            + static_cast<std::size_t>(
                   std::count(m_text.begin(), m_text.begin() + static_cast<std::ptrdiff_t>(end), '\n'));
    }

    [[nodiscard]] std::size_t lineOf(const pugi::xml_node &node) const
    {
        return lineAt(node.offset_debug());
    }

    void readState(const pugi::xml_node &node, std::map<std::string, State, std::less<>> &states)
    {
        const std::string_view kind = node.name();
        if (kind != "state" && kind != "final") {
            report(lineOf(node), "expected state or final, seen unknown element '" + std::string(kind) + "'");
            return;
        }
        const std::string id = node.attribute("id").value();
        if (id.empty()) {
            report(lineOf(node), "expected an id, seen none");
            return;
        }
        if (states.contains(id)) {
            report(lineOf(node), "duplicate state '" + id + "'");
            return;
        }
        State &state = states[id];
        state.final = kind == "final";
        state.line = lineOf(node);
        for (const pugi::xml_node child : node.children()) {
            readTransition(child, id, state);
        }
    }

    void readTransition(const pugi::xml_node &node, const std::string &id, State &state)
    {
        if (std::string_view(node.name()) != "transition" || state.final) {
            report(lineOf(node), "expected transition, seen unknown element '" + std::string(node.name()) + "'");
            return;
        }
        const std::string event = node.attribute("event").value();
        if (event.empty()) {
            report(lineOf(node), "expected an event, seen none");
            return;
        }
        if (!state.transitions.emplace(event, node.attribute("target").value()).second) {
            report(lineOf(node), "duplicate event '" + event + "' in state '" + id + "'");
            return;
        }
        state.transitionLines[event] = lineOf(node);
    }

    void check(const std::string &initial, const std::map<std::string, State, std::less<>> &states)
    {
        std::set<std::string> reached;
        std::vector<std::string> open { initial };
        while (!open.empty()) {
            const std::string id = std::move(open.back());
            open.pop_back();
            const auto state = states.find(id);
            if (state == states.end() || !reached.insert(id).second) {
                continue;
            }
            for (const auto &[event, target] : state->second.transitions) {
                open.push_back(target);
            }
        }
        for (const auto &[id, state] : states) {
            checkState(id, state, states, reached.contains(id));
        }
    }

    void checkState(const std::string &id, const State &state, const std::map<std::string, State, std::less<>> &states,
                    bool isReached)
    {
        for (const auto &[event, target] : state.transitions) {
            if (!states.contains(target)) {
                std::string message = "unknown target '";
                message.append(target).append("' of event '").append(event).append("'");
                report(state.transitionLines.at(event), std::move(message));
            }
        }
        const bool leaves = std::ranges::any_of(state.transitions, [&](const auto &pair) { return pair.second != id; });
        if (!state.final && !leaves) {
            report(state.line, "state '" + id + "' has no way out and isn't final");
        }
        if (!isReached) {
            report(state.line, "state '" + id + "' is unreachable from the initial state");
        }
    }

    std::string m_path;
    const std::string &m_text;
    Findings m_findings;
};

} // namespace

tl::expected<Chart, Findings> Chart::load(const std::string &path)
{
    const std::optional<std::string> text = readFile(path);
    if (!text) {
        return tl::unexpected(Findings { { path, Severity::Error, "expected a readable file" } });
    }
    auto data = std::make_shared<Data>();
    ChartReader reader(path, *text);
    reader.read(data->name, data->initial, data->states);
    Findings findings = reader.takeFindings();
    if (hasErrors(findings)) {
        return tl::unexpected(std::move(findings));
    }
    Chart chart;
    chart.m_data = std::move(data);
    return chart;
}

const std::string &Chart::name() const
{
    return m_data->name;
}

const std::string &Chart::initial() const
{
    return m_data->initial;
}

std::optional<std::string> Chart::next(std::string_view state, std::string_view event) const
{
    const auto found = m_data->states.find(state);
    if (found == m_data->states.end()) {
        return std::nullopt;
    }
    const auto transition = found->second.transitions.find(event);
    if (transition == found->second.transitions.end()) {
        return std::nullopt;
    }
    return transition->second;
}

bool Chart::isFinal(std::string_view state) const
{
    const auto found = m_data->states.find(state);
    return found != m_data->states.end() && found->second.final;
}

std::vector<std::string> Chart::states() const
{
    std::vector<std::string> names;
    for (const auto &[id, state] : m_data->states) {
        names.push_back(id);
    }
    return names;
}

std::vector<std::string> Chart::events() const
{
    std::set<std::string> names;
    for (const auto &[id, state] : m_data->states) {
        for (const auto &[event, target] : state.transitions) {
            names.insert(event);
        }
    }
    return { names.begin(), names.end() };
}

} // namespace currantring
