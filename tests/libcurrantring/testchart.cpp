#include "chart.h"

#include <filesystem>
#include <fstream>

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

struct TemporaryDirectory
{
    std::filesystem::path path;

    TemporaryDirectory()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "testchart-XXXXXX").string();
        path = mkdtemp(pattern.data());
    }
    ~TemporaryDirectory()
    {
        std::filesystem::remove_all(path);
    }
};

struct Case
{
    std::string name;
    std::string text;
    /** Line and message start of each finding. */
    std::vector<std::string> findings;
};

const std::string head = "<scxml name=\"c\" initial=\"a\">\n";
const std::string plain = "<state id=\"a\"><transition event=\"e\" target=\"b\"/></state>\n<final id=\"b\"/>\n";

const std::string foot = "</scxml>";
const std::string noInitial = "<scxml initial=\"z\">" + plain + foot;

const std::vector<Case> cases {
    { "sound", head + plain + "</scxml>", {} },
    { "malformed", head + plain, { "3: expected well-formed XML" } },
    { "other root", "<html/>", { "1: expected the element scxml" } },
    { "unknown element",
      head + plain + "<parallel/></scxml>",
      { "4: expected state or final, seen unknown element 'parallel'" } },
    { "unknown element in state",
      head + "<state id=\"a\"><onentry/>\n<transition event=\"e\" target=\"b\"/></state><final id=\"b\"/></scxml>",
      { "2: expected transition, seen unknown element 'onentry'" } },
    { "unknown target and no way out",
      head + plain + "<state id=\"d\"><transition event=\"e\" target=\"x\"/></state></scxml>",
      { "4: unknown target 'x'", "4: state 'd' is unreachable" } },
    { "unreachable", head + plain + "<final id=\"d\"/></scxml>", { "4: state 'd' is unreachable" } },
    { "no way out",
      head + "<state id=\"a\">\n<transition event=\"e\" target=\"a\"/></state></scxml>",
      { "2: state 'a' has no way out" } },
    { "duplicate state", head + plain + "<final id=\"b\"/></scxml>", { "4: duplicate state 'b'" } },
    { "duplicate event",
      head
          + "<state id=\"a\"><transition event=\"e\" target=\"b\"/>\n<transition event=\"e\" target=\"b\"/></state>\n"
            "<final id=\"b\"/></scxml>",
      { "3: duplicate event 'e'" } },
    { "unknown initial",
      noInitial,
      { "1: expected a known state as initial", "1: state 'a' is unreachable", "2: state 'b' is unreachable" } },
};

} // namespace

BOOST_AUTO_TEST_SUITE(Charts)

BOOST_AUTO_TEST_CASE(faultsAreFoundWithTheirLine)
{
    const TemporaryDirectory directory;
    const std::string path = directory.path / "chart.scxml";
    for (const Case &row : cases) {
        BOOST_TEST_CONTEXT(row.name)
        {
            std::ofstream(path) << row.text;
            const auto chart = Chart::load(path);
            const Findings findings = chart ? Findings {} : chart.error();
            BOOST_REQUIRE_EQUAL(findings.size(), row.findings.size());
            for (std::size_t index = 0; index < findings.size(); ++index) {
                const std::string seen = formatFinding(findings[index]);
                std::string expected = row.findings[index];
                expected.insert(expected.find(' '), " error:");
                expected.insert(0, path + ":");
                BOOST_TEST(seen.starts_with(expected), seen);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(theShippedChartsAreSound)
{
    const auto set = ChartSet::load(CURRANTRING_CHARTS);
    BOOST_REQUIRE(set.has_value());
    BOOST_TEST(set->task.name() == "task");
    BOOST_TEST(set->task.initial() == "queued");
    BOOST_TEST(set->task.next("running", "evict").value() == "checkpointing");
    BOOST_TEST(!set->task.next("moving", "cancel").has_value());
    BOOST_TEST(set->task.isFinal("unplaceable"));
    BOOST_TEST(set->attempt.states().size() == 10U);
    BOOST_TEST(set->endpoint.next("probing", "recover").value() == "live");
    BOOST_TEST(set->peerLink.next("connected", "silent").value() == "idle");
    BOOST_TEST(set->daemon.next("waiting", "configured").value() == "joining");
}

BOOST_AUTO_TEST_CASE(aSetReportsMissingFilesAndMissingEventsTogether)
{
    const TemporaryDirectory directory;
    std::ofstream(directory.path / "daemon.scxml") << head + plain + "</scxml>";
    const auto set = ChartSet::load(directory.path);
    BOOST_REQUIRE(!set.has_value());
    // Four files are missing, and the fifth has none of the four events.
    BOOST_TEST(set.error().size() == 8U);
}

BOOST_AUTO_TEST_SUITE_END()
