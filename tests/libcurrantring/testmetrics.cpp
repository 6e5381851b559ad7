#include "metrics.h"
#include "thread.h"

#include <boost/test/unit_test.hpp>

using namespace currantring;

namespace {

bool holds(const std::string &text, const std::string &line)
{
    return text.find(line + "\n") != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MetricsExposition)

BOOST_AUTO_TEST_CASE(countersAndGaugesHaveTypeAndPrefix)
{
    Metrics metrics;
    metrics.count("requests_total", 2);
    metrics.count("requests_total");
    metrics.countReason("refused_total", "queue \"full\"");
    metrics.setGauge("free_slots", 2.5);
    BOOST_TEST(metrics.exposition()
               == "# TYPE currantring_refused_total counter\n"
                  "currantring_refused_total{reason=\"queue \\\"full\\\"\"} 1\n"
                  "# TYPE currantring_requests_total counter\n"
                  "currantring_requests_total 3\n"
                  "# TYPE currantring_free_slots gauge\n"
                  "currantring_free_slots 2.5\n");
}

BOOST_AUTO_TEST_CASE(bucketsAreCumulativeAndQuantilesClose)
{
    Metrics metrics;
    for (int value = 1; value <= 1000; ++value) {
        metrics.observe("run_ms", { OwnerId("a"), "batch" }, Milliseconds(value));
    }
    metrics.observe("run_ms", { OwnerId("a"), "batch" }, Milliseconds(700000));
    const std::string text = metrics.exposition();
    const std::string labels = "{owner=\"a\",class=\"batch\"";
    BOOST_TEST(holds(text, "currantring_run_ms_bucket" + labels + ",le=\"10\"} 10"));
    BOOST_TEST(holds(text, "currantring_run_ms_bucket" + labels + ",le=\"600000\"} 1000"));
    BOOST_TEST(holds(text, "currantring_run_ms_bucket" + labels + ",le=\"+Inf\"} 1001"));
    BOOST_TEST(holds(text, "currantring_run_ms_sum" + labels + "} 1200500"));
    BOOST_TEST(holds(text, "currantring_run_ms_count" + labels + "} 1001"));
    const std::string median = "currantring_run_ms_quantile" + labels + ",quantile=\"0.5\"} ";
    const std::size_t place = text.find(median);
    BOOST_REQUIRE(place != std::string::npos);
    BOOST_TEST(std::stod(text.substr(place + median.size())) == 500.0, boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_CASE(ownersPastTheBoundAreFolded)
{
    Metrics metrics;
    for (int owner = 0; owner < 100; ++owner) {
        metrics.observe("run_ms", { OwnerId("o" + std::to_string(owner)), "batch" }, Milliseconds(1));
    }
    const std::string text = metrics.exposition();
    BOOST_TEST(holds(text, "currantring_run_ms_count{owner=\"o63\",class=\"batch\"} 1"));
    BOOST_TEST(holds(text, "currantring_run_ms_count{owner=\"other\",class=\"batch\"} 36"));
    BOOST_TEST(text.find("owner=\"o64\"") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(threadsMayRecordAtOnce)
{
    Metrics metrics;
    {
        std::vector<Thread> threads;
        threads.reserve(4);
        for (int thread = 0; thread < 4; ++thread) {
            threads.emplace_back("recorder", [&metrics] {
                for (int event = 0; event < 500; ++event) {
                    metrics.count("events_total");
                    metrics.observe("run_ms", { OwnerId("a"), "batch" }, Milliseconds(event));
                }
            });
        }
        BOOST_TEST(!holds(metrics.exposition(), "currantring_events_total 2001"));
    }
    BOOST_TEST(holds(metrics.exposition(), "currantring_events_total 2000"));
}

BOOST_AUTO_TEST_SUITE_END()
