#define BOOST_TEST_MODULE Spread
#include "membership/measure/fleet.h"

#include <boost/test/unit_test.hpp>

using namespace rhubarblane;

namespace
{

struct SpreadFixture {
    static FleetSettings settings(std::size_t balancers, double loss = 0.0)
    {
        FleetSettings result;
        result.balancers = balancers;
        result.loss = loss;
        result.randomSeed = 3;
        return result;
    }

    static wire::TargetEntry entry(std::size_t number, std::uint64_t sequence, wire::MemberState state)
    {
        const std::string name = "target-" + std::to_string(number);
        wire::TargetEntry result;
        result.set_target(targetIdOf(name).value());
        result.set_name(name);
        result.set_incarnation(1700000000000ULL);
        result.set_sequence(sequence);
        result.set_state(state);
        result.set_slots(4);
        result.set_service(serviceIdOf("service-" + std::to_string(number / 8)).value());
        return result;
    }

    static std::size_t showing(Fleet &fleet, std::size_t number, std::uint64_t sequence, wire::MemberState state)
    {
        std::size_t result = 0;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            const wire::TargetEntry known = fleet.core(i).targets().entry(TargetId(entry(number, 1, state).target()));
            result += known.state() == state && known.sequence() == sequence ? 1 : 0;
        }
        return result;
    }

    static wire::Gossip from(const std::string &name)
    {
        wire::Gossip message;
        message.set_kind(wire::Gossip::SPREAD);
        message.set_sender(balancerIdOf(name).value());
        message.set_incarnation(1);
        return message;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SpreadTest, SpreadFixture)

// Guards against a drain that reaches balancers too late, so that they send new flows to the draining target.
BOOST_AUTO_TEST_CASE(drainIsKnownEverywhereWithinTwoSecondsWithLoss)
{
    Fleet fleet(settings(30, 0.01));
    fleet.run(Milliseconds(30000));
    for (std::size_t target = 0; target < 20; ++target) {
        fleet.core(target).setTarget(entry(target, 1, wire::SERVING));
    }
    fleet.run(Milliseconds(20000));
    for (std::size_t target = 0; target < 20; ++target) {
        BOOST_TEST(showing(fleet, target, 1, wire::SERVING) == fleet.size());
        fleet.core(target).setTarget(entry(target, 2, wire::DRAINING));
        fleet.run(Milliseconds(2000));
        BOOST_TEST(showing(fleet, target, 2, wire::DRAINING) == fleet.size());
    }
}

// Guards against a drain that reaches other regions only with the next probe between bridges, up to 2 s later.
BOOST_AUTO_TEST_CASE(drainIsKnownInAllRegionsBeforeTheNextContactOfBridges)
{
    FleetSettings regions = settings(48, 0.01);
    regions.regions = 4;
    Fleet fleet(regions);
    fleet.run(Milliseconds(60000));
    for (std::size_t target = 0; target < 12; ++target) {
        fleet.core(target).setTarget(entry(target, 1, wire::SERVING));
        fleet.run(Milliseconds(5000));
        fleet.core(target).setTarget(entry(target, 2, wire::DRAINING));
        fleet.run(Milliseconds(1000));
        BOOST_TEST(showing(fleet, target, 2, wire::DRAINING) == fleet.size());
    }
}

// Guards against a balancer that does not learn of a new revision and stays on an old configuration.
BOOST_AUTO_TEST_CASE(revisionIsInForceEverywhereWithinTwoSecondsWithLoss)
{
    Fleet fleet(settings(30, 0.01));
    fleet.run(Milliseconds(30000));
    for (std::uint64_t revision = 1; revision <= 20; ++revision) {
        fleet.core(revision).setConfiguration(Revision(revision), revision);
        fleet.run(Milliseconds(2000));
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            BOOST_TEST(!fleet.core(i).newestConfigurationPeer().has_value());
        }
    }
}

// Guards against an entry that stays missing on a balancer that received none of its rumors.
BOOST_AUTO_TEST_CASE(entryMissedByAllRumorsIsRepairedByAntiEntropy)
{
    Fleet fleet(settings(10));
    fleet.run(Milliseconds(20000));
    fleet.setPartition([](std::size_t from, std::size_t to) { return to == 7; });
    fleet.core(0).setTarget(entry(1, 1, wire::SERVING));
    fleet.run(Milliseconds(1900));
    fleet.setPartition(nullptr);
    BOOST_TEST(showing(fleet, 1, 1, wire::SERVING) == 9u);
    fleet.run(Milliseconds(8000));
    BOOST_TEST(showing(fleet, 1, 1, wire::SERVING) == 10u);
}

// Guards against a delayed older entry that replaces a newer one.
BOOST_AUTO_TEST_CASE(olderEntryNeverReplacesNewerOne)
{
    MembershipSettings own;
    own.name = "own";
    own.incarnation = Incarnation(1);
    MembershipCore core(own);
    wire::Gossip newer = from("b");
    *newer.add_targets() = entry(1, 9, wire::DRAINING);
    wire::Gossip older = from("c");
    *older.add_targets() = entry(1, 8, wire::SERVING);
    core.handleMessage(Timestamp(1), PeerAddress {1, 1}, newer);
    BOOST_TEST(core.takeChangedTargets().size() == 1u);
    core.handleMessage(Timestamp(2), PeerAddress {2, 1}, older);
    BOOST_TEST(core.takeChangedTargets().empty());
    BOOST_TEST(core.targets().entry(TargetId(entry(1, 1, wire::SERVING).target())).state() == wire::DRAINING);
    BOOST_TEST(core.counters().olderEntries == 1u);
}

// Guards against an outdated GONE from another balancer for a target that still announces itself here.
BOOST_AUTO_TEST_CASE(outdatedGoneOfTargetThatAnnouncesHereIsRefuted)
{
    MembershipSettings own;
    own.name = "own";
    own.incarnation = Incarnation(1);
    MembershipCore core(own);
    core.setTarget(entry(1, 1, wire::SERVING));
    core.setTarget(entry(1, 5, wire::SERVING));
    wire::Gossip message = from("b");
    *message.add_target_changes() =
        toChange(entry(1, 1, wire::GONE).target(), EntryVersion {1700000000000ULL, 3, wire::GONE});
    core.handleMessage(Timestamp(1), PeerAddress {1, 1}, message);
    const wire::TargetEntry known = core.targets().entry(TargetId(entry(1, 1, wire::SERVING).target()));
    BOOST_TEST(known.state() == wire::SERVING);
    BOOST_TEST(known.sequence() == 5u);
}

// Guards against sending a rumor for every announcement, that is, one per target and second.
BOOST_AUTO_TEST_CASE(announcementWithoutNewContentSpreadsNothing)
{
    Fleet fleet(settings(5));
    fleet.core(0).setTarget(entry(1, 1, wire::SERVING));
    fleet.run(Milliseconds(20000));
    fleet.core(0).setTarget(entry(1, 2, wire::SERVING));
    fleet.run(Milliseconds(5000));
    BOOST_TEST(showing(fleet, 1, 1, wire::SERVING) == 5u);
}

// Guards against datagrams that exceed an MTU of 1,280 bytes and against traffic above the budget.
BOOST_AUTO_TEST_CASE(fleetThatStartsAtOnceKeepsDatagramLimitAndBudget)
{
    Fleet fleet(settings(60));
    for (std::size_t i = 0; i < 400; ++i) {
        fleet.core(i % 60).setTarget(entry(i, 1, wire::SERVING));
    }
    fleet.run(Milliseconds(60000));
    // Sealing adds 40 bytes.
    BOOST_TEST(fleet.largestMessage() + 40 <= 1200u);
    const std::uint64_t perBalancerSecond = fleet.bytesSent() / 60 / 60;
    // At the start the bucket holds the bytes of 2 s.
    BOOST_TEST(perBalancerSecond <= 4000u * 62 / 60);
    std::uint64_t throttled = 0;
    for (const TrafficCounters &counters : fleet.core(0).traffic()) {
        throttled += counters.throttled;
    }
    BOOST_TEST(throttled > 0u);
}

// Guards against anti-entropy that uses up the budget for drains and probes.
BOOST_AUTO_TEST_CASE(budgetUnderLoadStopsClassesInTheStatedOrder)
{
    ByteBudget budget(1000);
    budget.advance(Timestamp(0));
    std::vector<TrafficClass> stopped;
    for (int bytes = 0; bytes < 2000; bytes += 10) {
        for (const TrafficClass traffic : {TrafficClass::Sync,
                                           TrafficClass::InForce,
                                           TrafficClass::Target,
                                           TrafficClass::Member,
                                           TrafficClass::Urgent}) {
            const bool isStopped = std::find(stopped.begin(), stopped.end(), traffic) != stopped.end();
            if (!isStopped && !budget.admit(traffic)) {
                stopped.push_back(traffic);
            }
        }
        budget.charge(TrafficClass::Probe, 10);
    }
    BOOST_TEST(!budget.admit(TrafficClass::Urgent));
    BOOST_TEST(budget.admit(TrafficClass::Probe));
    const std::vector<TrafficClass> expected = {
        TrafficClass::Sync, TrafficClass::InForce, TrafficClass::Target, TrafficClass::Member};
    BOOST_TEST((stopped == expected));
}

// Guards against a joining balancer that cannot forward packets of a service until it has received all entries.
BOOST_AUTO_TEST_CASE(joiningBalancerThatAsksForServiceGetsItsMembersAtOnce)
{
    FleetSettings slow = settings(5);
    slow.bytesPerSecond = 2000;
    Fleet fleet(slow);
    for (std::size_t i = 0; i < 800; ++i) {
        fleet.core(0).setTarget(entry(i, 1, wire::SERVING));
    }
    fleet.run(Milliseconds(600000));
    BOOST_TEST(fleet.core(4).targets().liveCount() == 800u);
    fleet.kill(4);
    fleet.start(4);
    fleet.run(Milliseconds(1500));
    fleet.core(4).requestService(fleet.now(), serviceIdOf("service-77"));
    fleet.run(Milliseconds(500));
    BOOST_TEST(fleet.core(4).targets().liveOf(serviceIdOf("service-77")).size() == 8u);
    BOOST_TEST(fleet.core(4).targets().liveCount() < 400u);
}

BOOST_AUTO_TEST_SUITE_END()
