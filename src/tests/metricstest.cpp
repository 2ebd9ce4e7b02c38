#define BOOST_TEST_MODULE Metrics
#include "daemon/agentreport.h"
#include "daemon/balancerreport.h"
#include "runtime/durationsummary.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace rhubarblane;

// Guards against a page that a Prometheus server rejects because of duplicate HELP and TYPE lines or unescaped labels.
BOOST_AUTO_TEST_CASE(metricsTextWithLabelsWritesOneHeadAndEscapes)
{
    MetricsText text;
    text.counter("packets_total", "Packets.", 1, {{"socket", "a\"b\\c"}});
    text.counter("packets_total", "Packets.", 2, {{"socket", "peers"}});
    BOOST_TEST(
        text.text()
        == "# HELP rhubarblane_packets_total Packets.\n# TYPE rhubarblane_packets_total counter\n"
           "rhubarblane_packets_total{socket=\"a\\\"b\\\\c\"} 1\nrhubarblane_packets_total{socket=\"peers\"} 2\n");
}

// Guards against quantiles estimated from too few samples and against quantiles that are not monotonic.
BOOST_AUTO_TEST_CASE(durationSummaryWithFewSamplesHasNoQuantiles)
{
    DurationSummary summary;
    summary.add(1);
    BOOST_TEST(summary.quantiles().empty());
    for (int i = 0; i < 1000; ++i) {
        summary.add(i % 100);
    }
    BOOST_TEST(summary.count() == 1001u);
    BOOST_REQUIRE(summary.quantiles().size() == 3u);
    BOOST_TEST(summary.quantiles()[0].second == 50, boost::test_tools::tolerance(0.1));
    BOOST_TEST(summary.quantiles()[2].second == 99, boost::test_tools::tolerance(0.1));
}

// Guards against two metrics of one role with the same name, of which a Prometheus server keeps only one.
BOOST_AUTO_TEST_CASE(metricsOfEachRoleHaveUniqueHeads)
{
    MetricsText balancer;
    addBalancerMetrics(balancer, BalancerCore(BalancerSettings {}));
    const SystemClock clock;
    EventLoop loop(clock, Milliseconds(20));
    MetricsText agent;
    addAgentMetrics(agent, AgentCore(AgentSettings {}), TargetLink(loop, PeerAddress {}));
    for (const std::string &page : {balancer.text(), agent.text()}) {
        std::istringstream lines(page);
        std::map<std::string, int> heads;
        for (std::string line; std::getline(lines, line);) {
            if (line.rfind("# TYPE", 0) == 0) {
                BOOST_TEST(++heads[line] == 1, line);
            }
        }
        BOOST_TEST(heads.size() > 8u);
    }
}
