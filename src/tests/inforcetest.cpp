#define BOOST_TEST_MODULE InForce
#include "membership/measure/fleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace rhubarblane;

namespace
{

struct InForceFixture {
    static FleetSettings settings(std::size_t balancers)
    {
        FleetSettings result;
        result.balancers = balancers;
        result.randomSeed = 5;
        return result;
    }

    static void watch(Fleet &fleet, std::size_t node, int seconds)
    {
        for (int i = 0; i < seconds; ++i) {
            fleet.core(node).watchInForce(fleet.now());
            fleet.run(Milliseconds(1000));
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(InForceTest, InForceFixture)

// Guards against a status that reports a revision as in force everywhere too early or never.
BOOST_AUTO_TEST_CASE(revisionInForceEverywhereIsCountedOnAllBalancers)
{
    Fleet fleet(settings(20));
    fleet.run(Milliseconds(30000));
    fleet.core(3).setConfiguration(Revision(7), 70);
    watch(fleet, 11, 5);
    const InForceCount count = fleet.core(11).inForceCount(Revision(7));
    BOOST_TEST(count.complete);
    BOOST_TEST(count.members == 20u);
    BOOST_TEST(count.inForce == 20u);
    BOOST_TEST(count.lagging.empty());
    BOOST_TEST(fleet.core(11).inForceCount(Revision(8)).inForce == 0u);
}

// Guards against a status that does not name a lagging balancer.
BOOST_AUTO_TEST_CASE(balancerThatDoesNotApplyRevisionIsNamedAsLagging)
{
    Fleet fleet(settings(20));
    fleet.run(Milliseconds(30000));
    fleet.core(3).setConfiguration(Revision(7), 70);
    fleet.run(Milliseconds(5000));
    // Balancer 9 can send but receives nothing, so it stays on revision 7.
    fleet.setPartition([](std::size_t from, std::size_t to) { return to == 9; });
    fleet.core(3).setConfiguration(Revision(8), 80);
    watch(fleet, 11, 2);
    const InForceCount count = fleet.core(11).inForceCount(Revision(8));
    BOOST_TEST(count.complete);
    BOOST_TEST(count.inForce == 19u);
    BOOST_REQUIRE(count.lagging.size() == 1u);
    BOOST_TEST(count.lagging.front() == fleet.name(9));
}

// Guards against a count for which every balancer must report to the one whose status is read.
BOOST_AUTO_TEST_CASE(balancerThatIsAskedHearsOneSummaryPerAvailabilityZone)
{
    Fleet fleet(settings(200));
    for (std::size_t i = 0; i < 200; ++i) {
        fleet.core(i).setConfiguration(Revision(1), 10);
    }
    fleet.run(Milliseconds(90000));
    BOOST_TEST(fleet.divergentViews() == 0u);
    std::size_t summaries = 0;
    std::size_t reports = 0;
    std::vector<std::size_t> reportsAt(200, 0);
    fleet.setObserver([&](std::size_t from, std::size_t to, const wire::Gossip &message) {
        reportsAt[to] += message.in_force_report() ? 1 : 0;
        if (to == 11) {
            summaries += static_cast<std::size_t>(message.in_force_size());
            reports += message.in_force_report() ? 1 : 0;
        }
    });
    watch(fleet, 11, 10);
    const InForceCount count = fleet.core(11).inForceCount(Revision(1));
    BOOST_TEST(count.complete);
    BOOST_TEST(count.inForce == 200u);
    BOOST_TEST(summaries <= 4u * 20 + 20);
    // Each group has about 40 members, which report every 5 s.
    BOOST_TEST(*std::max_element(reportsAt.begin(), reportsAt.end()) <= 80u);
}

// Guards against a count that stays incomplete after aggregators have failed.
BOOST_AUTO_TEST_CASE(countAfterDeathOfAggregatorsIsCompleteAgain)
{
    Fleet fleet(settings(12));
    fleet.run(Milliseconds(30000));
    fleet.core(0).setConfiguration(Revision(1), 10);
    fleet.run(Milliseconds(5000));
    // Two of the three members of each availability zone fail, so aggregators are among them.
    for (std::size_t i = 4; i < 12; ++i) {
        fleet.kill(i);
        fleet.run(Milliseconds(6000));
    }
    watch(fleet, 1, 20);
    const InForceCount count = fleet.core(1).inForceCount(Revision(1));
    BOOST_TEST(count.complete);
    BOOST_TEST(count.members == 4u);
    BOOST_TEST(count.inForce == 4u);
}

BOOST_AUTO_TEST_SUITE_END()
