#define BOOST_TEST_MODULE GroupRoster
#include "agent/grouproster.h"

#include <boost/test/unit_test.hpp>

using namespace rhubarblane;

namespace
{

struct RosterFixture {
    GroupRoster roster;

    static wire::TargetEntry
    entry(std::uint64_t target, std::uint64_t incarnation, std::uint64_t sequence, wire::MemberState state)
    {
        wire::TargetEntry result;
        result.set_target(target);
        result.set_incarnation(incarnation);
        result.set_sequence(sequence);
        result.set_state(state);
        return result;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GroupRosterTest, RosterFixture)

// Guards against a late entry replacing the entry of a newer incarnation.
BOOST_AUTO_TEST_CASE(mergeWithOlderIncarnationKeepsNewerEntry)
{
    BOOST_TEST(roster.merge(entry(1, 5, 1, wire::SERVING)));
    BOOST_TEST(!roster.merge(entry(1, 4, 9, wire::DRAINING)));
    BOOST_TEST(roster.find(TargetId(1))->state() == wire::SERVING);
}

// Guards against a draining member being the home of new flows while another member serves.
BOOST_AUTO_TEST_CASE(homeOfWithDrainingMemberPicksServingMember)
{
    roster.merge(entry(1, 1, 1, wire::DRAINING));
    roster.merge(entry(2, 1, 1, wire::SERVING));
    for (std::uint64_t flow = 0; flow < 50; ++flow) {
        BOOST_TEST(roster.homeOf(FlowHash(flow))->value() == 2u);
    }
}

// Guards against different digests of rosters that hold the same entries but received them in another order.
BOOST_AUTO_TEST_CASE(digestOfEntriesInAnotherOrderIsEqual)
{
    GroupRoster other;
    roster.merge(entry(1, 1, 1, wire::SERVING));
    roster.merge(entry(2, 1, 1, wire::SERVING));
    other.merge(entry(2, 1, 1, wire::SERVING));
    other.merge(entry(1, 1, 1, wire::SERVING));
    BOOST_TEST(roster.digest() == other.digest());
}

BOOST_AUTO_TEST_SUITE_END()
