#define BOOST_TEST_MODULE TargetTable
#include "balancer/targettable.h"

#include <boost/test/unit_test.hpp>

using namespace rhubarblane;

namespace
{

struct TargetTableFixture {
    TargetTable table;
    const ServiceId service = ServiceId(9);

    static wire::TargetEntry
    entry(std::uint64_t target, std::uint64_t incarnation, std::uint64_t sequence, wire::MemberState state)
    {
        wire::TargetEntry result;
        result.set_target(target);
        result.set_incarnation(incarnation);
        result.set_sequence(sequence);
        result.set_state(state);
        result.mutable_address()->set_address(static_cast<std::uint32_t>(target));
        return result;
    }

    void add(const wire::TargetEntry &added)
    {
        table.merge(added);
        table.bind(TargetId(added.target()), service);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TargetTableTest, TargetTableFixture)

// Guards against a delayed announcement that returns a draining target to serving.
BOOST_AUTO_TEST_CASE(announceWithOlderSequenceKeepsState)
{
    add(entry(1, 1, 2, wire::DRAINING));
    BOOST_TEST(table.announce(entry(1, 1, 1, wire::SERVING), Timestamp(5000)) == nullptr);
    BOOST_TEST(table.find(TargetId(1))->entry.state() == wire::DRAINING);
}

// Guards against a target that stays gone after its lease expired, although it announces itself again.
BOOST_AUTO_TEST_CASE(announceAfterExpiryServesAgain)
{
    add(entry(1, 1, 1, wire::SERVING));
    table.announce(entry(1, 1, 1, wire::SERVING), Timestamp(5000));
    BOOST_TEST(table.expire(Timestamp(5000)) == 1U);
    BOOST_TEST(table.homeOf(service, FlowHash(1)) == nullptr);
    table.announce(entry(1, 1, 1, wire::SERVING), Timestamp(9000));
    BOOST_REQUIRE(table.homeOf(service, FlowHash(1)) != nullptr);
}

// Guards against routes that are not updated with their entries, so that packets go to the old address of a restarted
// target or to one that is gone.
BOOST_AUTO_TEST_CASE(homeOfAfterChangeHasNewIncarnationAndAddress)
{
    add(entry(1, 1, 1, wire::SERVING));
    const std::uint32_t index = table.find(TargetId(1))->index;
    wire::TargetEntry restarted = entry(1, 2, 1, wire::SERVING);
    restarted.mutable_address()->set_address(77);
    table.merge(restarted);
    BOOST_TEST(table.homeOf(service, FlowHash(1))->incarnation == 2U);
    BOOST_TEST(table.homeOf(service, FlowHash(1))->address.address == 77U);
    BOOST_TEST(!table.isAlive(index, 1));
    BOOST_TEST(table.isAlive(index, 2));
}

// Guards against a target that still receives flows of a service it was unbound from.
BOOST_AUTO_TEST_CASE(bindToOtherServiceUnbindsFromFirst)
{
    add(entry(1, 1, 1, wire::SERVING));
    table.bind(TargetId(1), ServiceId(10));
    BOOST_TEST(table.homeOf(service, FlowHash(1)) == nullptr);
    BOOST_TEST(table.membersOf(ServiceId(10)).size() == 1U);
}

// Guards against new flows that go to draining targets while others serve, and against dropping them when all targets
// are draining.
BOOST_AUTO_TEST_CASE(homeOfWithDrainingTargetPrefersServingOne)
{
    add(entry(1, 1, 1, wire::DRAINING));
    BOOST_TEST(table.homeOf(service, FlowHash(3))->target.value() == 1U);
    add(entry(2, 1, 1, wire::SERVING));
    for (std::uint64_t flow = 0; flow < 50; ++flow) {
        BOOST_TEST(table.homeOf(service, FlowHash(flow))->target.value() == 2U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
