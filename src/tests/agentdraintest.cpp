#define BOOST_TEST_MODULE AgentDrain
#include "tests/agentharness.h"

#include <boost/test/unit_test.hpp>

using namespace rhubarblane;

namespace
{

struct DrainFixture : AgentHarness {
    void openAt(std::size_t index, const FlowTuple &tuple, const std::string &packet)
    {
        sendTo(index, tuple, packet);
        run(20);
    }

    void answer(const FlowTuple &tuple, const std::string &packet)
    {
        const std::size_t owner = ownerOf(tuple).value();
        agent(owner).handleFromTarget(Timestamp(now), tuple, deliveries.back().number, packet);
        collect(owner);
    }

    bool lastIsReset()
    {
        return !toCallers.empty() && toCallers.back()[9] == 6 && (toCallers.back()[33] & Rst) != 0;
    }

    FlowTuple establishTcp(std::uint16_t port)
    {
        const FlowTuple tuple = flow(port, Protocol::Tcp);
        openAt(0, tuple, tcpPacket(tuple, Syn, 100));
        answer(tuple, tcpPacket(tuple, Syn | Ack, 500, "", true));
        openAt(0, tuple, tcpPacket(tuple, Ack, 101));
        return tuple;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AgentDrainTest, DrainFixture)

// Guards against new flows at a draining target, also from members and balancers whose view still shows it as serving.
BOOST_AUTO_TEST_CASE(drainingAgentAcceptsNoFlowFromStalePeers)
{
    startGroup(3);
    isLost = [](const Datagram &datagram) { return datagram.message.has_heartbeat(); };
    agent(1).beginDrain(Timestamp(now), Timestamp(now + 60000));
    const std::uint64_t before = agent(1).counters().accepted;
    for (std::uint16_t port = 2000; port < 2030; ++port) {
        openAt(port % 3, flow(port), buildUdpRequest(flow(port), "first"));
    }
    run(1000);
    BOOST_TEST(agent(1).counters().accepted == before);
    BOOST_TEST(agent(0).counters().accepted + agent(2).counters().accepted > 0u);
}

// Guards against a planned stop that ends flows before the deadline, or that completes before the flows have ended.
BOOST_AUTO_TEST_CASE(drainingAgentServesOpenFlowsUntilTheyEnd)
{
    startGroup(3);
    const FlowTuple tuple = establishTcp(2000);
    const std::size_t owner = ownerOf(tuple).value();
    agent(owner).beginDrain(Timestamp(now), Timestamp(now + 60000));
    run(20000);
    BOOST_TEST(!agent(owner).isDrained(Timestamp(now)));
    const std::size_t before = deliveries.size();
    openAt((owner + 1) % 3, tuple, tcpPacket(tuple, Ack, 101, "data"));
    BOOST_TEST(deliveries.size() == before + 1);
    agent(owner).handleTargetClosed(Timestamp(now), tuple, deliveries.back().number);
    run(1000);
    BOOST_TEST(agent(owner).isDrained(Timestamp(now)));
    BOOST_TEST(agent(owner).counters().endedByDrain == 0u);
}

// Guards against callers not being notified when their flows are ended at the drain deadline.
BOOST_AUTO_TEST_CASE(drainDeadlineResetsOpenFlowsAndNotifiesCallers)
{
    startGroup(3);
    const FlowTuple tuple = establishTcp(2000);
    const std::size_t owner = ownerOf(tuple).value();
    agent(owner).beginDrain(Timestamp(now), Timestamp(now + 4000));
    run(3900);
    BOOST_TEST(!lastIsReset());
    run(200);
    BOOST_TEST(lastIsReset());
    BOOST_REQUIRE(closed.size() == 1u);
    BOOST_TEST((closed.back() == tuple));
    BOOST_TEST(agent(owner).counters().endedByDrain == 1u);
    BOOST_TEST(agent(owner).isDrained(Timestamp(now)));
}

// Guards against new flows being blocked by a quarantine after a planned departure, as they are after a crash.
BOOST_AUTO_TEST_CASE(flowsOfDrainedHomeAreDecidedWithoutQuarantine)
{
    startGroup(3);
    const FlowTuple tuple = flowWithHome(2);
    agent(2).beginDrain(Timestamp(now), Timestamp(now + 60000));
    run(4000);
    BOOST_REQUIRE(agent(2).isDrained(Timestamp(now)));
    dead[2] = true;
    openAt(0, tuple, buildUdpRequest(tuple, "first"));
    BOOST_TEST(ownersOf(tuple).size() == 1u);
}

// Guards against both ends waiting indefinitely after a middlebox has lost the flow's state.
BOOST_AUTO_TEST_CASE(flowWhoseTargetFallsSilentIsEndedAtBothEnds)
{
    service.set_silence_timeout_ms(2000);
    startGroup(2);
    const FlowTuple tuple = establishTcp(2000);
    openAt(0, tuple, tcpPacket(tuple, Ack, 101, "data"));
    run(1500);
    BOOST_TEST(closed.empty());
    run(800);
    BOOST_REQUIRE(closed.size() == 1u);
    BOOST_TEST(lastIsReset());
}

// Guards against a target continuing to send to a caller that no longer answers.
BOOST_AUTO_TEST_CASE(flowWhoseCallerFallsSilentIsEndedAtBothEnds)
{
    service.set_silence_timeout_ms(2000);
    startGroup(2);
    const FlowTuple tuple = establishTcp(2000);
    for (int i = 0; i < 5; ++i) {
        answer(tuple, tcpPacket(tuple, Ack, 501, "data", true));
        run(500);
    }
    BOOST_REQUIRE(closed.size() == 1u);
    BOOST_TEST(lastIsReset());
}

// Guards against idle streams, and streams in which no answer is due, being ended as silent.
BOOST_AUTO_TEST_CASE(idleAndOneWayStreamsAreNotSilent)
{
    service.set_silence_timeout_ms(2000);
    service.set_request_kind(false);
    startGroup(2);
    const FlowTuple upload = flow(2000);
    openAt(0, upload, buildUdpRequest(upload, "0"));
    for (int i = 1; i < 8; ++i) {
        openAt(0, upload, buildUdpRequest(upload, std::to_string(i)));
        run(1000);
    }
    const FlowTuple idle = establishTcp(2001);
    openAt(0, idle, tcpPacket(idle, Ack, 101, "data"));
    answer(idle, tcpPacket(idle, Ack, 501, "", true));
    run(20000);
    BOOST_TEST(closed.empty());
    BOOST_TEST(agent(0).counters().silent + agent(1).counters().silent == 0u);
}

// Guards against TCP flows being kept after both sides have closed them, and against their port not being reusable.
BOOST_AUTO_TEST_CASE(tcpFlowClosedByBothSidesEndsAndItsPortCanBeReused)
{
    startGroup(2);
    const FlowTuple tuple = establishTcp(2000);
    openAt(0, tuple, tcpPacket(tuple, Ack | Fin, 101));
    answer(tuple, tcpPacket(tuple, Ack | Fin, 501, "", true));
    BOOST_TEST(ownerOf(tuple).has_value());
    openAt(1, tuple, tcpPacket(tuple, Syn, 9000));
    BOOST_TEST((closed.size() == 1u && ownerOf(tuple).has_value()));
    openAt(0, tuple, tcpPacket(tuple, Rst, 9001));
    BOOST_TEST(!ownerOf(tuple).has_value());
    openAt(0, tuple, tcpPacket(tuple, Syn, 12000));
    openAt(0, tuple, tcpPacket(tuple, Ack | Fin, 12001));
    answer(tuple, tcpPacket(tuple, Ack | Fin, 700, "", true));
    run(2500);
    BOOST_TEST(!ownerOf(tuple).has_value());
}

// Guards against one caller filling the flow table with handshakes that it never completes.
BOOST_AUTO_TEST_CASE(halfOpenFlowsPerCallerAreBounded)
{
    service.set_max_flows_per_client(5);
    AgentSettings settings = settingsFor("target-0", 1);
    settings.queueLimit = 1000;
    add(settings);
    run(2000);
    for (std::uint16_t port = 2000; port < 2020; ++port) {
        const FlowTuple tuple = flow(port, Protocol::Tcp);
        openAt(0, tuple, tcpPacket(tuple, Syn, 100));
    }
    BOOST_TEST(agent(0).flows().size() == 5u);
    const FlowTuple first = flow(2000, Protocol::Tcp);
    openAt(0, first, tcpPacket(first, Ack, 101));
    const FlowTuple next = flow(3000, Protocol::Tcp);
    openAt(0, next, tcpPacket(next, Syn, 100));
    BOOST_TEST(agent(0).flows().size() == 6u);
}

// Guards against services of high priority being refused at the same load as those of low priority.
BOOST_AUTO_TEST_CASE(lowPriorityIsRefusedAtLowerLoad)
{
    std::map<std::uint32_t, std::size_t> accepted;
    for (const std::uint32_t priority : {0U, 9U}) {
        AgentHarness net;
        net.service.set_priority(priority);
        AgentSettings settings = net.settingsFor("target-0", 1);
        settings.queueLimit = 20;
        net.add(settings);
        net.run(2000);
        for (std::uint16_t port = 2000; port < 2040; ++port) {
            net.sendTo(0, flow(port), buildUdpRequest(flow(port), "first"));
            net.run(5);
        }
        accepted[priority] = net.agent(0).flows().size();
    }
    BOOST_TEST(accepted[0] == 12u);
    BOOST_TEST(accepted[9] == 22u);
}

// Guards against directing a full share of the load to a target that has just started.
BOOST_AUTO_TEST_CASE(coldTargetAnnouncesGrowingCapacity)
{
    AgentSettings settings = settingsFor("target-0", 1);
    settings.coldStart = Milliseconds(10000);
    add(settings);
    run(1000);
    BOOST_TEST(agent(0).self().capacity_milli() < 300u);
    run(4500);
    BOOST_TEST(agent(0).self().capacity_milli() > 300u);
    BOOST_TEST(agent(0).self().capacity_milli() < 900u);
    run(6000);
    BOOST_TEST(agent(0).self().capacity_milli() == 1000u);
}

BOOST_AUTO_TEST_SUITE_END()
