#define BOOST_TEST_MODULE DaemonDrain
#include "tests/pathfixture.h"

#include <boost/test/unit_test.hpp>

using namespace rhubarblane;

BOOST_FIXTURE_TEST_SUITE(DaemonDrainTest, PathFixture)

// Guards against an unintended change of what callers and targets observe during a drain and a graceful stop.
BOOST_AUTO_TEST_CASE(pathWithDrainAndGracefulStopMatchesTranscript)
{
    run(6000);
    for (const std::uint16_t port : {4001, 4002, 4003, 4004}) {
        send(port, "open");
    }
    Agent &leaving = ownerOf(4001);
    line() << "drain " << leaving.name << "\n";
    leaving.core.beginDrain(now, now + Milliseconds(60000));
    run(1000);
    for (const std::uint16_t port : {4001, 4002, 4003, 4004}) {
        const std::string owner = ownerOf(port).name;
        send(port, "more");
        BOOST_TEST(ownerOf(port).name == owner);
    }
    for (const std::uint16_t port : {4005, 4006, 4007, 4008}) {
        send(port, "new");
        BOOST_TEST(ownerOf(port).name != leaving.name);
    }
    BOOST_TEST(!leaving.core.isDrained(now));
    run(6000);
    BOOST_TEST(leaving.core.isDrained(now));
    check("path-drain.txt");
}

BOOST_AUTO_TEST_SUITE_END()
