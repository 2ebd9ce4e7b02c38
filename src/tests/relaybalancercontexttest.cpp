#define BOOST_TEST_MODULE RelayBalancerContext
#include "tests/relaysimulation.h"

#include <boost/test/unit_test.hpp>

using namespace rhubarblane;

namespace
{

struct RelayBalancerContextFixture {
    wire::relay::Forward forwarded(std::uint32_t priority, bool otherServiceIsUrgent)
    {
        ServiceTable table = relayTable(1);
        RelayedService &service = table.services.begin()->second;
        service.priority = priority;
        service.objective = Milliseconds(200);
        if (otherServiceIsUrgent) {
            RelayedService other = service;
            other.priority = 1;
            other.address.port = 444;
            table.services[other.address] = other;
        }
        table.indexPriorities();
        context.table = table;
        context.forward(agent, groupIdOf("desk"), ForwardMode::Known, Milliseconds(0), caller.data(1));
        return output.toPeers.back().second.forward();
    }

    Timestamp now {100000};
    PlainPacketFormat format;
    RecordedOutput output;
    PeerAddress agent {0x0a000009, 7720};
    RelayCaller caller {40001};
    RelayBalancerContext context {{relayPeer("balancer-1", PeerRole::Balancer, 1), {}, 100, 1}, now, format, output};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RelayBalancerContextTest, RelayBalancerContextFixture)

// Guards against agents that do not know which requests may wait.
BOOST_AUTO_TEST_CASE(packetOfLessUrgentServiceTellsAgentHowLongItMayWait)
{
    const wire::relay::Forward forward = forwarded(2, true);
    BOOST_TEST(forward.less_urgent());
    BOOST_TEST(forward.hold_ms() == 90u);
}

// Guards against held requests in groups that serve one urgency only.
BOOST_AUTO_TEST_CASE(packetOfGroupWithOneUrgencyIsNotMarked)
{
    const wire::relay::Forward forward = forwarded(2, false);
    BOOST_TEST(!forward.less_urgent());
    BOOST_TEST(forward.hold_ms() == 0u);
}

// Guards against held requests of the most urgent service.
BOOST_AUTO_TEST_CASE(packetOfMostUrgentServiceIsNotMarked)
{
    BOOST_TEST(!forwarded(0, true).less_urgent());
}

BOOST_AUTO_TEST_SUITE_END()
