#define BOOST_TEST_MODULE AgentCore
#include "tests/agentharness.h"

#include <boost/test/unit_test.hpp>

using namespace rhubarblane;

namespace
{

struct AgentFixture : AgentHarness {
    std::uint8_t protocolOf(const std::string &packet)
    {
        return static_cast<std::uint8_t>(packet[9]);
    }

    /**
     * Returns the type and code of the last ICMP packet to a caller, as type * 256 + code; 0 if the last packet is not
     * ICMP.
     */
    unsigned lastIcmp()
    {
        if (toCallers.empty() || protocolOf(toCallers.back()) != 1) {
            return 0;
        }
        return static_cast<unsigned char>(toCallers.back()[20]) * 256U
            + static_cast<unsigned char>(toCallers.back()[21]);
    }

    bool lastIsReset()
    {
        return !toCallers.empty() && protocolOf(toCallers.back()) == 6 && (toCallers.back()[33] & Rst) != 0;
    }

    void openAt(std::size_t index, const FlowTuple &tuple, const std::string &payload = "first")
    {
        sendTo(index, tuple, buildUdpRequest(tuple, payload));
        run(20);
    }
};

// ICMP destination unreachable: communication administratively prohibited, and host unreachable.
constexpr unsigned NotRunIcmp = 3 * 256 + 13;
constexpr unsigned UnknownIcmp = 3 * 256 + 1;

} // namespace

BOOST_FIXTURE_TEST_SUITE(AgentCoreTest, AgentFixture)

// Guards against a flow being split between targets because its packets enter at different agents.
BOOST_AUTO_TEST_CASE(packetsEnteringAtAllAgentsReachOneOwnerInOrder)
{
    startGroup(4);
    for (std::uint16_t port = 2000; port < 2004; ++port) {
        const FlowTuple tuple = flow(port);
        for (std::size_t i = 0; i < 4; ++i) {
            sendTo(i, tuple, buildUdpRequest(tuple, std::to_string(i)));
            run(20);
        }
        BOOST_TEST(ownersOf(tuple).size() == 1u);
        BOOST_TEST(ownersOf(tuple).begin()->second == 4u);
    }
}

// Guards against loss, duplication or reordering of packets that arrive before the flow is decided.
BOOST_AUTO_TEST_CASE(packetsOfPendingFlowAreDeliveredInOrderWithoutDuplicates)
{
    startGroup(3);
    const FlowTuple tuple = flowWithHome(1);
    for (const char *payload : {"a", "a", "b", "a", "c"}) {
        sendTo(1, tuple, buildUdpRequest(tuple, payload));
    }
    run(30);
    std::string order;
    for (const Delivery &delivery : deliveries) {
        order += delivery.packet.back();
    }
    BOOST_TEST(order == "abc");
}

// Guards against an unbounded queue of packets of one undecided flow.
BOOST_AUTO_TEST_CASE(packetsOfPendingFlowBeyondBoundAreDropped)
{
    startUnequalGroup(3);
    isLost = [](const Datagram &datagram) { return datagram.message.has_place(); };
    std::uint16_t port = 2000;
    while (homeOf(flow(port)) != 0
           || candidatesFor(flow(port), agent(0).roster()).front()
               == agent(0).roster().homeOf(flowHashOf(flow(port)))) {
        ++port;
    }
    for (int i = 0; i < 20; ++i) {
        sendTo(0, flow(port), buildUdpRequest(flow(port), std::to_string(i)));
    }
    run(20);
    BOOST_TEST(agent(0).counters().queueFull == 12u);
}

// Guards against delivery of packets that are for another service or an earlier process.
BOOST_AUTO_TEST_CASE(packetForOtherServiceOrIncarnationIsNotDelivered)
{
    startGroup(1);
    const FlowTuple tuple = flow(3000);
    openAt(0, tuple);
    for (const auto &[serviceId, incarnation] : {std::make_pair(TestService + 1, 1), std::make_pair(TestService, 2)}) {
        wire::Envelope envelope;
        wire::Forward *message = envelope.mutable_forward();
        message->set_service(serviceId);
        *message->mutable_flow() = toWire(tuple);
        message->set_packet(buildUdpRequest(tuple, "second"));
        message->set_opening(true);
        message->set_target_incarnation(static_cast<std::uint64_t>(incarnation));
        post(1, 0, std::move(envelope));
    }
    run(20);
    BOOST_TEST(deliveries.size() == 1u);
    BOOST_TEST(agent(0).counters().wrongService == 1u);
    BOOST_TEST(agent(0).counters().staleIncarnation == 1u);
}

// Guards against a late answer being sent on the next flow of a reused port.
BOOST_AUTO_TEST_CASE(answerOfEndedFlowIsNotSentForReusedPort)
{
    startGroup(1);
    const FlowTuple tuple = flow(3000);
    openAt(0, tuple);
    const FlowNumber first = deliveries.back().number;
    agent(0).handleTargetClosed(Timestamp(now), tuple, first);
    openAt(0, tuple, "next");
    BOOST_TEST(deliveries.size() == 2u);
    toCallers.clear();
    agent(0).handleFromTarget(Timestamp(now), tuple, first, buildUdpReply(tuple, "late"));
    collect(0);
    BOOST_TEST(toCallers.empty());
    agent(0).handleFromTarget(Timestamp(now), tuple, deliveries.back().number, buildUdpReply(tuple, "own"));
    collect(0);
    BOOST_TEST(toCallers.size() == 1u);
}

// Guards against a refused request running later, also after the flow's home has changed.
BOOST_AUTO_TEST_CASE(refusedFlowStaysRefusedAfterHomeChanges)
{
    startGroup(2);
    std::vector<FlowTuple> refused;
    for (std::uint16_t port = 4000; port < 4030; ++port) {
        toCallers.clear();
        openAt(port % 2, flow(port));
        if (lastIcmp() == NotRunIcmp) {
            refused.push_back(flow(port));
        }
    }
    BOOST_TEST(refused.size() == 22u);
    for (const Delivery &delivery : std::vector<Delivery>(deliveries)) {
        agent(delivery.agent).handleTargetClosed(Timestamp(now), delivery.flow, delivery.number);
    }
    add("target-8");
    run(3000);
    add("target-9");
    run(3000);
    agent(0).beginDrain(Timestamp(now), Timestamp(now + 5000));
    run(4000);
    for (const FlowTuple &tuple : refused) {
        for (std::size_t i = 1; i < 4; ++i) {
            openAt(i, tuple);
        }
        BOOST_TEST(ownersOf(tuple).empty());
    }
}

// Guards against a duplicate of an opening packet running a request again after its flow has ended, at any agent.
BOOST_AUTO_TEST_CASE(duplicateOfOpeningPacketAfterEndRunsNowhere)
{
    startGroup(4);
    for (std::uint16_t port = 5000; port < 5010; ++port) {
        const FlowTuple tuple = flow(port);
        openAt(port % 4, tuple);
        const std::size_t owner = ownerOf(tuple).value();
        agent(owner).handleTargetClosed(Timestamp(now), tuple, deliveries.back().number);
        run(50);
        for (std::size_t i = 0; i < 4; ++i) {
            openAt(i, tuple);
        }
        BOOST_TEST(ownersOf(tuple).begin()->second == 1u);
    }
}

// Guards against packets of equal content being dropped as duplicates after the packet lifetime, such as a sensor's
// repeated reading.
BOOST_AUTO_TEST_CASE(sameBytesAfterPacketLifetimeAreDelivered)
{
    startGroup(3);
    const FlowTuple tuple = flow(5000);
    openAt(0, tuple);
    openAt(0, tuple);
    BOOST_TEST(deliveries.size() == 1u);
    run(10000);
    openAt(0, tuple);
    BOOST_TEST(deliveries.size() == 2u);
}

// Guards against callers of a dead target not being notified, and against their request running again.
BOOST_AUTO_TEST_CASE(callersOfDeadOwnerAreNotified)
{
    startGroup(4);
    std::uint16_t port = 6000;
    FlowTuple lost;
    do {
        lost = flow(++port);
        openAt(1, lost);
    } while (homeOf(lost) == ownerOf(lost).value());
    const std::size_t owner = ownerOf(lost).value();
    dead[owner] = true;
    run(5000);
    toCallers.clear();
    openAt(homeOf(lost, owner == 0 ? 1 : 0), lost, "more");
    BOOST_TEST(lastIcmp() == UnknownIcmp);
    BOOST_TEST(ownersOf(lost).size() == 1u);
}

// Guards against TCP callers of a dead target or of an unknown flow not being reset.
BOOST_AUTO_TEST_CASE(segmentOfUnknownTcpFlowIsReset)
{
    startGroup(2);
    const FlowTuple tuple = flow(7000, Protocol::Tcp);
    sendTo(0, tuple, tcpPacket(tuple, Ack, 100, "data"));
    run(30);
    BOOST_TEST(lastIsReset());
    BOOST_TEST(deliveries.empty());
}

BOOST_AUTO_TEST_SUITE_END()
