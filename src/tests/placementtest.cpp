#define BOOST_TEST_MODULE Placement
#include "agent/placement.h"

#include <boost/test/unit_test.hpp>

using namespace rhubarblane;

namespace
{

struct PlacementFixture {
    AgentSettings settings;
    GroupRoster roster;
    Timestamp now = Timestamp(1000);

    PlacementFixture()
    {
        settings.slots = 2;
    }

    /** Serves `count` requests one after the other, each of which occupies one slot for `serviceMs`. */
    void serve(Placement &placement, int count, std::int64_t serviceMs)
    {
        for (int i = 0; i < count; ++i) {
            placement.setActiveFlows(now, 1);
            now = now + Milliseconds(serviceMs);
            placement.requestCompleted();
            placement.setActiveFlows(now, 0);
        }
    }

    void addMember(std::uint64_t target, std::uint32_t capacityMilli, wire::MemberState state)
    {
        wire::TargetEntry entry;
        entry.set_target(target);
        entry.set_incarnation(1);
        entry.set_sequence(1);
        entry.set_state(state);
        entry.set_slots(1);
        entry.set_capacity_milli(capacityMilli);
        roster.merge(entry);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PlacementTest, PlacementFixture)

// Guards against a wrong declared capacity staying in effect.
BOOST_AUTO_TEST_CASE(placementAfterCompletedRequestsKnowsCapacity)
{
    Placement placement(settings);
    placement.setActiveFlows(now, 0);
    serve(placement, 100, 20);
    placement.tick(now);
    BOOST_TEST(placement.capacityMilli() == 50000U);
}

// Guards against a capacity being learned from too few requests.
BOOST_AUTO_TEST_CASE(placementAfterFewRequestsKeepsDeclaredCapacity)
{
    Placement placement(settings);
    placement.setActiveFlows(now, 0);
    serve(placement, 3, 20);
    placement.tick(now);
    BOOST_TEST(placement.capacityMilli() == settings.capacityMilli);
}

// Guards against a corrective term of the wrong sign, which would direct flows to the busier of two equal targets.
BOOST_AUTO_TEST_CASE(placementWithHigherShareInUseHasLowerWeight)
{
    Placement idle(settings);
    Placement busy(settings);
    idle.setActiveFlows(now, 0);
    busy.setActiveFlows(now, 2);
    now = now + Milliseconds(5000);
    idle.tick(now);
    busy.tick(now);
    BOOST_TEST(busy.weightMilli() < idle.weightMilli());
}

// Guards against announcing a new weight for each small change of the load.
BOOST_AUTO_TEST_CASE(placementWithSmallChangeKeepsWeight)
{
    Placement placement(settings);
    placement.setActiveFlows(now, 1);
    now = now + Milliseconds(10000);
    placement.tick(now);
    const std::uint32_t weight = placement.weightMilli();
    BOOST_TEST(weight < settings.capacityMilli);
    now = now + Milliseconds(995);
    placement.setActiveFlows(now, 2);
    now = now + Milliseconds(5);
    placement.tick(now);
    BOOST_TEST(placement.weightMilli() == weight);
}

// Guards against an unbounded queue.
BOOST_AUTO_TEST_CASE(placementWithFullQueueDoesNotAccept)
{
    const Placement placement(settings);
    wire::TargetEntry self;
    self.set_state(wire::SERVING);
    BOOST_TEST(placement.canAccept(self, LocalLoad {4, 4}, 3));
    BOOST_TEST(!placement.canAccept(self, LocalLoad {5, 5}, 3));
    self.set_state(wire::DRAINING);
    BOOST_TEST(!placement.canAccept(self, LocalLoad {0, 0}, 3));
}

// Guards against an expected wait that ignores the queue or the speed of the target.
BOOST_AUTO_TEST_CASE(expectedWaitWithQueueGrowsByCompletionTime)
{
    settings.capacityMilli = 50000;
    const Placement placement(settings);
    BOOST_TEST(placement.expectedWait(LocalLoad {1, 1}) == 0U);
    BOOST_TEST(placement.expectedWait(LocalLoad {2, 2}) == 10U);
    BOOST_TEST(placement.expectedWait(LocalLoad {4, 4}) == 30U);
}

// Guards against draining members being candidates, and against a distribution that ignores the weights.
BOOST_AUTO_TEST_CASE(candidatesOfUnequalMembersFollowWeights)
{
    addMember(1, 8000, wire::SERVING);
    addMember(2, 1000, wire::SERVING);
    addMember(3, 8000, wire::DRAINING);
    int toFast = 0;
    for (std::uint64_t flow = 0; flow < 9000; ++flow) {
        const std::vector<TargetId> candidates = Placement::candidatesFor(FlowHash(flow), roster);
        BOOST_REQUIRE(candidates.size() == 2U);
        BOOST_REQUIRE(candidates.at(0) != TargetId(3));
        toFast += candidates.at(0) == TargetId(1) ? 1 : 0;
    }
    BOOST_TEST(toFast > 7800);
    BOOST_TEST(toFast < 8200);
}

BOOST_AUTO_TEST_SUITE_END()
