#define BOOST_TEST_MODULE Bench
#include "bench/idealqueue.h"
#include "bench/simulation.h"

#include <boost/test/unit_test.hpp>

using namespace rhubarblane;

namespace
{

struct BenchFixture {
    BenchOptions options;

    BenchFixture()
    {
        options.scenario = &allScenarios().front();
        options.deployment = &allDeployments().back();
        options.policy = "default";
        options.durationMs = 20000;
        options.streamsPerTarget = 5;
        options.load = 0.3;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(BenchTest, BenchFixture)

// Guards against figures that depend on anything but the arguments.
BOOST_AUTO_TEST_CASE(simulationRunTwiceGivesEqualFigures)
{
    BOOST_TEST(Simulation(options).run() == Simulation(options).run());
}

// Guards against a seed that is ignored.
BOOST_AUTO_TEST_CASE(simulationWithOtherSeedGivesOtherFigures)
{
    const std::string first = Simulation(options).run();
    options.seed = 2;
    BOOST_TEST(first != Simulation(options).run());
}

// Guards against a measure that misses broken streams: without shared state, a table per balancer must break some.
BOOST_AUTO_TEST_CASE(simulationOfTablePerBalancerWithDrainCountsBrokenFlows)
{
    options.policy = "flow-table";
    for (const Scenario &scenario : allScenarios()) {
        if (scenario.name == "store-outage") {
            options.scenario = &scenario;
        }
    }
    Simulation simulation(options);
    simulation.run();
    BOOST_TEST(simulation.counts().at("broken_planned") > 0U);
}

// Guards against a run that never ends: with three balancers, "everything" takes all of them out of the fabric at once.
BOOST_AUTO_TEST_CASE(simulationWithAllBalancersDownLosesPacketsAndEnds)
{
    options.balancers = 3;
    for (const Scenario &scenario : allScenarios()) {
        if (scenario.name == "everything") {
            options.scenario = &scenario;
        }
    }
    Simulation simulation(options);
    simulation.run();
    BOOST_TEST(simulation.counts().at("packets_without_balancer") > 0U);
}

// Guards against a wrong split of a span over two windows, which would hide an imbalance.
BOOST_AUTO_TEST_CASE(shareMeterWithSpanOverTwoWindowsCountsEachPart)
{
    ShareMeter meter(2, 0, 2 * ShareMeter::WindowUs);
    meter.addBusy(0, 4000000, 7000000);
    meter.addBusy(1, 4000000, 5000000);
    BOOST_TEST(meter.windowRatios().at(0) == 1.0);
    BOOST_TEST(meter.windowRatios().at(1) == 2.0);
    BOOST_TEST(meter.overallRatio() == 1.5);
}

// Guards against an ideal queue that starts work before a slot is free and so sets too low a bar.
BOOST_AUTO_TEST_CASE(sharedQueueWithBusySlotWaitsForIt)
{
    ShareMeter meter(1, 0, ShareMeter::WindowUs);
    const auto speed = [](std::size_t, std::int64_t) { return 2.0; };
    const auto waits = serveFromSharedQueue({{0, 20000.0, 0}, {1000, 20000.0, 1500}}, 1, 1, 0, speed, meter);
    BOOST_TEST(waits.at(0) == 0.0);
    BOOST_TEST(waits.at(1) == 10.5);
}

BOOST_AUTO_TEST_SUITE_END()
