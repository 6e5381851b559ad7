#include "virtualjobs.h"
#include "virtualsite.h"

#include <fstream>
#include <iostream>
#include <regex>
#include <set>

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

/** Returns the first capture group of @p pattern from each matching line of a source file. */
std::set<std::string> captureGroups(const std::string &path, const std::string &pattern)
{
    std::ifstream file(std::string(CURRANTRING_CHARTS).append("/../").append(path));
    std::set<std::string> names;
    for (std::string line; std::getline(file, line);) {
        std::smatch match;
        if (std::regex_search(line, match, std::regex(pattern))) {
            names.insert(match[1]);
        }
    }
    return names;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Events)

BOOST_AUTO_TEST_CASE(operationsPageListsAllEvents)
{
    const std::set<std::string> known = captureGroups("src/libjobs/jobevents.h", "string_view \\w+ = \"(\\w+)\"");
    const std::set<std::string> listed = captureGroups("docs/OPERATIONS.md", "^\\| `(\\w+)`");
    BOOST_TEST(known.size() > 20U);
    for (const std::string &name : known) {
        BOOST_TEST(listed.contains(name), name << " isn't listed in docs/OPERATIONS.md");
    }
}

/** The printed log lines are the input of the test of scripts/trace-request. */
BOOST_AUTO_TEST_CASE(aSessionWithATakeover)
{
    VirtualSite site({});
    site.record(true);
    site.run(Milliseconds(1500));
    BOOST_TEST(site.submit(batchJob(1, 2, 2, Milliseconds(1500))));
    BOOST_TEST(site.submit(batchJob(2)));
    const HostId writer = site.writer().value_or(site.hosts().front());
    site.killHost(writer);
    site.run(Milliseconds(3000));
    BOOST_TEST((site.phaseOf(batchJob(1).id) == JobPhase::Running));
    BOOST_TEST(
        site.runUntil([&site] { return site.phaseOf(batchJob(1).id) == JobPhase::Completed; }, Milliseconds(20'000)));
    for (const std::string &line : site.transcript()) {
        const std::size_t space = line.find(' ');
        const std::size_t host = line.find(' ', space + 1);
        std::cout << line.substr(space + 1, host - space - 1) << " ts=" << line.substr(0, space) << line.substr(host)
                  << '\n';
    }
}

BOOST_AUTO_TEST_SUITE_END()
