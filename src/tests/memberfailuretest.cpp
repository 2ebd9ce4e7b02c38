#define BOOST_TEST_MODULE MemberFailure
#include "membership/measure/fleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace rhubarblane;

namespace
{

struct FailureFixture {
    static FleetSettings settings(std::size_t balancers, double loss = 0.0)
    {
        FleetSettings result;
        result.balancers = balancers;
        result.loss = loss;
        result.randomSeed = 7;
        return result;
    }

    static std::uint64_t declarations(Fleet &fleet)
    {
        std::uint64_t result = 0;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            result += fleet.isRunning(i) ? fleet.core(i).counters().declaredGone : 0;
        }
        return result;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MemberFailureTest, FailureFixture)

// Guards against a failed balancer that is still selected as a peer after the guaranteed 5 s.
BOOST_AUTO_TEST_CASE(fleetWithKilledMemberShowsItGoneWithinFiveSeconds)
{
    Fleet fleet(settings(10));
    fleet.run(Milliseconds(20000));
    for (std::size_t victim = 0; victim < 5; ++victim) {
        fleet.kill(victim);
        fleet.run(Milliseconds(5000));
        BOOST_TEST(fleet.divergentViews() == 0u);
        fleet.start(victim);
        fleet.run(Milliseconds(20000));
        BOOST_TEST(fleet.divergentViews() == 0u);
    }
    BOOST_TEST(fleet.falseDeaths() == 0u);
}

// Guards against failed members that are never probed because all their watchers failed at the same time.
BOOST_AUTO_TEST_CASE(fleetWithThirdKilledAtOnceShowsThemGoneWithinEightSeconds)
{
    Fleet fleet(settings(30));
    fleet.run(Milliseconds(30000));
    for (std::size_t i = 0; i < 10; ++i) {
        fleet.kill(i * 3);
    }
    fleet.run(Milliseconds(8000));
    BOOST_TEST(fleet.divergentViews() == 0u);
    BOOST_TEST(fleet.falseDeaths() == 0u);
}

// Guards against late detection if neighbours on the ring fail together: a watcher must not wait for the declaration of
// one before it probes the next.
BOOST_AUTO_TEST_CASE(fleetWithNeighboursOnRingKilledShowsThemGoneWithinEightSeconds)
{
    Fleet fleet(settings(30));
    fleet.run(Milliseconds(30000));
    std::vector<std::size_t> ring(fleet.size());
    for (std::size_t i = 0; i < ring.size(); ++i) {
        ring[i] = i;
    }
    std::sort(ring.begin(), ring.end(), [&fleet](std::size_t a, std::size_t b) {
        return balancerIdOf(fleet.name(a)) < balancerIdOf(fleet.name(b));
    });
    for (std::size_t i = 0; i < 10; ++i) {
        fleet.kill(ring[i]);
    }
    fleet.run(Milliseconds(8000));
    BOOST_TEST(fleet.divergentViews() == 0u);
}

// Guards against a pause of 2 s or lost datagrams that are taken for a failure.
BOOST_AUTO_TEST_CASE(fleetWithLossAndPausedMembersDeclaresNobodyGone)
{
    Fleet fleet(settings(10, 0.01));
    fleet.run(Milliseconds(20000));
    for (std::size_t round = 0; round < 120; ++round) {
        fleet.pause(round * 7 % 10, Milliseconds(2000));
        fleet.run(Milliseconds(5000));
    }
    BOOST_TEST(declarations(fleet) == 0u);
    BOOST_TEST(fleet.divergentViews() == 0u);
}

// Guards against a process that was suspended for a minute and declares all peers gone because its timers expired.
BOOST_AUTO_TEST_CASE(memberPausedForMinuteDeclaresNobodyGone)
{
    Fleet fleet(settings(10));
    fleet.run(Milliseconds(20000));
    fleet.pause(3, Milliseconds(60000));
    fleet.run(Milliseconds(90000));
    BOOST_TEST(fleet.core(3).counters().declaredGone == 0u);
    BOOST_TEST(fleet.core(3).counters().clockGaps == 1u);
    BOOST_TEST(fleet.divergentViews() == 0u);
}

// Guards against false declarations when the clock jumps in either direction during probes and suspicions.
BOOST_AUTO_TEST_CASE(memberWithJumpingClockDeclaresNobodyGone)
{
    Fleet fleet(settings(10, 0.01));
    fleet.run(Milliseconds(20000));
    for (int round = 0; round < 20; ++round) {
        fleet.jumpClock(4, Milliseconds(round % 2 == 0 ? 7200000 : -3600000));
        fleet.pause(5, Milliseconds(1500));
        fleet.run(Milliseconds(3000));
    }
    BOOST_TEST(declarations(fleet) == 0u);
    BOOST_TEST(fleet.core(4).counters().clockGaps == 20u);
}

// Guards against an isolated process that declares all other members gone.
BOOST_AUTO_TEST_CASE(memberCutOffFromAllKeepsItsLastView)
{
    Fleet fleet(settings(10));
    fleet.run(Milliseconds(20000));
    fleet.setPartition([](std::size_t from, std::size_t to) { return from == 2 || to == 2; });
    fleet.run(Milliseconds(60000));
    BOOST_TEST(fleet.core(2).counters().declaredGone == 0u);
    BOOST_TEST(fleet.core(2).memberTable().liveCount() == 10u);
    BOOST_TEST(!fleet.seesLive(0, 2));
    fleet.setPartition(nullptr);
    fleet.run(Milliseconds(20000));
    BOOST_TEST(fleet.divergentViews() == 0u);
}

// Guards against live members that stay declared gone after a partition has healed.
BOOST_AUTO_TEST_CASE(fleetWithHealedPartitionShowsAllMembersAgain)
{
    Fleet fleet(settings(12));
    fleet.run(Milliseconds(20000));
    fleet.setPartition([](std::size_t from, std::size_t to) { return (from % 4 < 2) != (to % 4 < 2); });
    fleet.run(Milliseconds(60000));
    BOOST_TEST(!fleet.seesLive(0, 2));
    BOOST_TEST(fleet.seesLive(0, 1));
    fleet.setPartition(nullptr);
    fleet.run(Milliseconds(30000));
    BOOST_TEST(fleet.divergentViews() == 0u);
}

// Guards against regions that declare each other's members gone while the link between them is down.
BOOST_AUTO_TEST_CASE(fleetWithRegionCutOffKeepsItsLastViewAndMerges)
{
    FleetSettings twoRegions = settings(24);
    twoRegions.regions = 2;
    Fleet fleet(twoRegions);
    fleet.run(Milliseconds(40000));
    BOOST_TEST(fleet.divergentViews() == 0u);
    fleet.setPartition([&fleet](std::size_t from, std::size_t to) { return fleet.region(from) != fleet.region(to); });
    fleet.kill(5);
    fleet.run(Milliseconds(300000));
    BOOST_TEST(declarations(fleet) > 0u);
    BOOST_TEST(fleet.falseDeaths() == 0u);
    BOOST_TEST(fleet.seesLive(0, 1));
    BOOST_TEST(fleet.seesLive(0, 5));
    BOOST_TEST(!fleet.seesLive(1, 5));
    fleet.setPartition(nullptr);
    fleet.run(Milliseconds(20000));
    BOOST_TEST(fleet.divergentViews() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
