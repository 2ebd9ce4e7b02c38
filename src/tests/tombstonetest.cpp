#define BOOST_TEST_MODULE Tombstone
#include "membership/measure/fleet.h"

#include <boost/test/unit_test.hpp>

using namespace rhubarblane;

namespace
{

wire::TargetEntry targetEntry(const std::string &name, std::uint64_t sequence, wire::MemberState state)
{
    wire::TargetEntry result;
    result.set_target(targetIdOf(name).value());
    result.set_name(name);
    result.set_incarnation(100);
    result.set_sequence(sequence);
    result.set_state(state);
    return result;
}

struct TombstoneFixture {
    TargetEntries entries;
    MemberTable members = MemberTable(balancerIdOf("own"), "a", "r");

    static wire::BalancerEntry balancerEntry(std::uint64_t incarnation, std::uint64_t sequence, wire::MemberState state)
    {
        wire::BalancerEntry result;
        result.set_balancer(balancerIdOf("b").value());
        result.set_name("b");
        result.set_incarnation(incarnation);
        result.set_sequence(sequence);
        result.set_state(state);
        return result;
    }

    static bool isServing(Fleet &fleet, std::size_t node, const std::string &target)
    {
        return fleet.core(node).targets().entry(targetIdOf(target)).state() == wire::SERVING;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TombstoneTest, TombstoneFixture)

// Guards against a delayed copy of a live entry that resurrects a removed target.
BOOST_AUTO_TEST_CASE(goneTargetWithLateLiveEntryStaysGone)
{
    entries.merge(Timestamp(0), targetEntry("t", 5, wire::SERVING));
    entries.merge(Timestamp(0), targetEntry("t", 5, wire::GONE));
    const Timestamp justBefore = Timestamp(0) + (TargetEntries::TombstoneLifetime - Milliseconds(1));
    entries.expire(justBefore);
    BOOST_TEST((entries.merge(justBefore, targetEntry("t", 5, wire::SERVING)) == MergeResult::Older));
    BOOST_TEST(entries.liveCount() == 0u);
}

// Guards against a live entry that is accepted although its GONE arrived first, as when datagrams are reordered.
BOOST_AUTO_TEST_CASE(unknownTargetDeclaredGoneRejectsDelayedEntry)
{
    entries.merge(Timestamp(0), toChange(targetIdOf("t").value(), EntryVersion {100, 5, wire::GONE}));
    BOOST_TEST((entries.merge(Timestamp(1), targetEntry("t", 4, wire::SERVING)) == MergeResult::Older));
    BOOST_TEST((entries.merge(Timestamp(1), targetEntry("t", 6, wire::SERVING)) == MergeResult::Newer));
}

// Guards against tombstones that are never removed.
BOOST_AUTO_TEST_CASE(tombstoneAfterItsLifetimeIsRemoved)
{
    entries.merge(Timestamp(0), targetEntry("t", 5, wire::GONE));
    members.merge(Timestamp(0), balancerEntry(1, 1, wire::GONE));
    entries.expire(Timestamp(0) + TargetEntries::TombstoneLifetime);
    members.expire(Timestamp(0) + MemberTable::TombstoneLifetime);
    BOOST_TEST(!entries.find(targetIdOf("t").value()).has_value());
    BOOST_TEST(!members.find(balancerIdOf("b").value()).has_value());
}

// Guards against a failed member that a delayed entry resurrects, and a restarted one that its tombstone excludes.
BOOST_AUTO_TEST_CASE(goneMemberWithHigherIncarnationIsLiveAgain)
{
    members.merge(Timestamp(0), balancerEntry(1, 9, wire::GONE));
    members.expire(Timestamp(0) + (MemberTable::TombstoneLifetime - Milliseconds(1)));
    BOOST_TEST((members.merge(Timestamp(1), balancerEntry(1, 9, wire::SERVING)) == MergeResult::Older));
    BOOST_TEST((members.merge(Timestamp(1), balancerEntry(2, 1, wire::SERVING)) == MergeResult::Newer));
    BOOST_TEST(members.liveCount() == 1u);
}

// Guards against digests that never match because tombstones expire at different times.
BOOST_AUTO_TEST_CASE(digestsWithAndWithoutTombstoneAreEqual)
{
    TargetEntries other;
    entries.merge(Timestamp(0), targetEntry("t", 5, wire::SERVING));
    entries.merge(Timestamp(0), targetEntry("t", 6, wire::GONE));
    BOOST_TEST(entries.digests().root() == other.digests().root());
}

// Guards against targets and members removed on one side of a partition that return when it heals.
BOOST_AUTO_TEST_CASE(healedPartitionResurrectsNothing)
{
    FleetSettings settings;
    settings.balancers = 12;
    settings.randomSeed = 11;
    Fleet fleet(settings);
    fleet.run(Milliseconds(20000));
    for (const char *name : {"t1", "t2", "t3"}) {
        fleet.core(0).setTarget(targetEntry(name, 1, wire::SERVING));
    }
    fleet.run(Milliseconds(10000));
    BOOST_TEST(isServing(fleet, 11, "t1"));
    fleet.setPartition([](std::size_t from, std::size_t to) { return (from % 4 < 2) != (to % 4 < 2); });
    fleet.run(Milliseconds(10000));
    fleet.core(0).setTarget(targetEntry("t1", 2, wire::GONE));
    fleet.core(0).setTarget(targetEntry("t2", 2, wire::DRAINING));
    fleet.kill(4);
    fleet.run(Milliseconds(600000));
    BOOST_TEST(isServing(fleet, 11, "t1"));
    fleet.setPartition(nullptr);
    for (int second = 0; second < 60; ++second) {
        fleet.run(Milliseconds(1000));
        BOOST_TEST(!isServing(fleet, 0, "t1"));
        BOOST_TEST(!isServing(fleet, 1, "t2"));
        BOOST_TEST(!fleet.seesLive(1, 4));
    }
    BOOST_TEST(fleet.divergentViews() == 0u);
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        if (fleet.isRunning(node)) {
            BOOST_TEST(!isServing(fleet, node, "t1"));
            BOOST_TEST(fleet.core(node).targets().entry(targetIdOf("t2")).state() == wire::DRAINING);
            BOOST_TEST(isServing(fleet, node, "t3"));
        }
    }
}

// Guards against a clock jump that expires tombstones while old copies of their entries still exist.
BOOST_AUTO_TEST_CASE(clockJumpOfTwoHoursKeepsTombstones)
{
    MembershipSettings settings;
    settings.name = "own";
    settings.incarnation = Incarnation(1);
    MembershipCore core(settings);
    core.tick(Timestamp(0));
    core.setTarget(targetEntry("t", 5, wire::SERVING));
    core.setTarget(targetEntry("t", 6, wire::GONE));
    for (std::int64_t i = 1; i < 300; ++i) {
        core.tick(Timestamp(7200000 + i * 100));
    }
    BOOST_TEST(core.targets().find(targetIdOf("t").value()).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
