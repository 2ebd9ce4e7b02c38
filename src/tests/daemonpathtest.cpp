#define BOOST_TEST_MODULE DaemonPath
#include "tests/pathfixture.h"

#include <boost/test/unit_test.hpp>

using namespace rhubarblane;

BOOST_FIXTURE_TEST_SUITE(DaemonPathTest, PathFixture)

// Guards against flows that break when the balancer through which they were opened is lost.
BOOST_AUTO_TEST_CASE(pathWithBalancerLostMidStreamMatchesTranscript)
{
    run(6000);
    for (const std::uint16_t port : {4001, 4002, 4003}) {
        send(port, "open");
    }
    line() << "lose balancer-0\n";
    balancers.erase(balancers.begin());
    for (const std::uint16_t port : {4001, 4002, 4003, 4001, 4002, 4003}) {
        const std::string owner = ownerOf(port).name;
        send(port, "more");
        BOOST_TEST(ownerOf(port).name == owner);
    }
    check("path-balancer-lost.txt");
}

BOOST_AUTO_TEST_SUITE_END()
