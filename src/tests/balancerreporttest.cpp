#define BOOST_TEST_MODULE BalancerReport
#include "daemon/balancerreport.h"

#include <boost/test/unit_test.hpp>

using namespace rhubarblane;

namespace
{

struct RevisionsFixture {
    RevisionsFixture()
    {
        for (const char *name : {"balancer-1", "balancer-2", "balancer-3"}) {
            MemberView member;
            member.name = name;
            members.push_back(member);
        }
        own.name = "balancer-1";
        newest.name = "balancer-2";
        newest.revision = Revision(7);
    }

    std::vector<MemberView> members;
    BalancerRevision own;
    ConfigurationPeer newest;
    InForceCount count;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(BalancerReportTest, RevisionsFixture)

// Guards against a new balancer that finds no peer to fetch the configuration from until the first in-force summaries
// arrive.
BOOST_AUTO_TEST_CASE(revisionsOfNewestPeerWithoutSummaryIsTheAnnouncedOne)
{
    count.lagging = {"balancer-2", "balancer-3"};
    const std::vector<BalancerRevision> revisions = revisionsOf(members, newest, count, own);
    BOOST_REQUIRE_EQUAL(revisions.size(), 3u);
    BOOST_TEST(revisions[0].revision.value() == 0u);
    BOOST_TEST(revisions[1].revision.value() == 7u);
    BOOST_TEST(revisions[2].revision.value() == 0u);
}

// Guards against a member that is reported as lagging although its summary counts it as up to date.
BOOST_AUTO_TEST_CASE(revisionsOfCountedMemberIsTheNewest)
{
    BOOST_TEST(revisionsOf(members, newest, count, own)[2].revision.value() == 7u);
}

BOOST_AUTO_TEST_SUITE_END()
