#define BOOST_TEST_MODULE RelayAgentUrgency
#include "tests/relaysimulation.h"

#include <boost/test/unit_test.hpp>

using namespace rhubarblane;

namespace
{

/** An agent whose target has two slots, both busy with requests of less urgent flows. */
struct BusyAgentFixture {
    BusyAgentFixture()
    {
        report(1, 5000);
        for (const RelayCaller *caller : {&first, &second, &third, &fourth}) {
            open(*caller);
        }
        forward(first.data(1));
        forward(second.data(1));
        forward(third.data(1)); // Waits at the target, so that no slot idles.
        output.clear();
    }

    void report(std::uint64_t sequence, std::int64_t started)
    {
        TargetReport report;
        report.target = "desk-1";
        report.group = "desk";
        report.started = started;
        report.sequence = sequence;
        report.slots = 2;
        agent.onTargetReport(now, report);
    }

    void forward(const std::string &packet,
                 ForwardMode mode = ForwardMode::Known,
                 bool lessUrgent = true,
                 std::uint32_t acceptedWait = 0)
    {
        wire::relay::Message message;
        wire::relay::Forward *forward = message.mutable_forward();
        forward->set_group(groupIdOf("desk").value());
        forward->set_mode(static_cast<std::uint32_t>(mode));
        forward->set_accepted_wait_ms(acceptedWait);
        forward->set_packet(packet);
        forward->set_less_urgent(lessUrgent);
        forward->set_hold_ms(lessUrgent ? 90 : 0);
        agent.onPeerMessage(now, balancer, message);
    }

    void open(const RelayCaller &caller, bool lessUrgent = true)
    {
        forward(caller.opening(), ForwardMode::Open, lessUrgent, 60000);
        agent.onTargetPacket(now, caller.answer(true, 0));
    }

    static std::string closing(const std::string &packet)
    {
        PlainPacketFormat::Bytes bytes = PlainPacketFormat::bytesOf(packet);
        bytes.closing = true;
        return PlainPacketFormat::encode(bytes);
    }

    /** Returns the callers' ports of the packets sent to the target. */
    std::vector<std::uint16_t> portsToTarget() const
    {
        std::vector<std::uint16_t> ports;
        for (const std::string &packet : output.toTarget) {
            ports.push_back(PlainPacketFormat::bytesOf(packet).sourcePort);
        }
        return ports;
    }

    std::optional<ReturnReason> returned() const
    {
        for (const auto &[peer, message] : output.toPeers) {
            if (message.has_returned()) {
                return static_cast<ReturnReason>(message.returned().reason());
            }
        }
        return std::nullopt;
    }

    void advance(std::int64_t milliseconds)
    {
        const Timestamp end = now + Milliseconds(milliseconds);
        while (now < end) {
            now = now + Milliseconds(10);
            agent.onTick(now);
        }
    }

    Timestamp now {100000};
    PlainPacketFormat format;
    RecordedOutput output;
    PeerAddress balancer {0x0a000001, 7720};
    RelayAgent agent {{relayPeer("agent-1", PeerRole::Agent, 9), "desk", Milliseconds(1000), {}}, now, format, output};
    RelayCaller first {40001};
    RelayCaller second {40002};
    RelayCaller third {40003};
    RelayCaller fourth {40004};
    RelayCaller urgent {40005};
};

using Ports = std::vector<std::uint16_t>;

} // namespace

BOOST_FIXTURE_TEST_SUITE(RelayAgentUrgencyTest, BusyAgentFixture)

// Guards against requests on open flows that fill the queue of a target that also serves an urgent service.
BOOST_AUTO_TEST_CASE(agentWithBusySlotsHoldsLessUrgentRequestUntilAnswer)
{
    forward(fourth.data(1));
    forward(fourth.data(101));
    BOOST_TEST(output.toTarget.empty());
    BOOST_TEST(output.hasDecision("requestHeld"));
    agent.onTargetPacket(now, first.answer(false, 50));
    BOOST_TEST(portsToTarget() == (Ports {40004, 40004}), boost::test_tools::per_element());
    BOOST_TEST(PlainPacketFormat::bytesOf(output.toTarget[0]).sequence == 1u);
    BOOST_TEST(agent.meter().busy() == 3u);
}

// Guards against a change for callers while a slot is free.
BOOST_AUTO_TEST_CASE(agentWithFreeSlotPassesLessUrgentRequest)
{
    agent.onTargetPacket(now, first.answer(false, 50));
    agent.onTargetPacket(now, second.answer(false, 50));
    forward(fourth.data(1));
    BOOST_TEST(portsToTarget() == (Ports {40004}), boost::test_tools::per_element());
    BOOST_TEST(agent.counters().requestsHeld == 0u);
}

// Guards against a change for services whose targets serve one urgency only, and for balancers of older versions.
BOOST_AUTO_TEST_CASE(agentWithoutLessUrgentMarkHoldsNothing)
{
    forward(fourth.data(1), ForwardMode::Known, false);
    BOOST_TEST(portsToTarget() == (Ports {40004}), boost::test_tools::per_element());
}

// Guards against urgent requests that wait for less urgent ones that are held.
BOOST_AUTO_TEST_CASE(agentWithHeldRequestPassesUrgentRequestFirst)
{
    open(urgent, false);
    forward(fourth.data(1));
    output.clear();
    forward(urgent.data(1), ForwardMode::Known, false);
    BOOST_TEST(portsToTarget() == (Ports {40005}), boost::test_tools::per_element());
    agent.onTargetPacket(now, first.answer(false, 50));
    BOOST_TEST(agent.gate().size() == 1u);
    agent.onTargetPacket(now, second.answer(false, 50));
    BOOST_TEST(agent.gate().size() == 0u);
}

// Guards against urgent flows that are returned because of held requests, which begin after theirs.
BOOST_AUTO_TEST_CASE(agentWithHeldRequestsCountsThemForLessUrgentFlowsOnly)
{
    forward(fourth.data(1));
    const std::uint32_t wait = 35; // One request waits at the target, at 20 ms for two slots.
    const RelayCaller other(40006);
    forward(other.opening(), ForwardMode::Open, true, wait - 10);
    BOOST_TEST((returned() == ReturnReason::Busy));
    output.clear();
    forward(urgent.opening(), ForwardMode::Open, false, wait - 10);
    BOOST_TEST(!returned().has_value());
    BOOST_TEST(output.toTarget.size() == 1u);
}

// Guards against flows that are reset, or requests that stay away, after a request was held for its maximum time.
BOOST_AUTO_TEST_CASE(agentWithExpiredHeldRequestDropsItAndTakesItsRepeat)
{
    forward(fourth.data(1));
    advance(180);
    BOOST_TEST(output.hasDecision("requestsDropped"));
    BOOST_TEST(output.toTarget.empty());
    BOOST_TEST(output.toCallers.empty());
    BOOST_TEST(agent.counters().heldExpired == 1u);
    agent.onTargetPacket(now, first.answer(false, 50));
    forward(fourth.data(1));
    BOOST_TEST(agent.gate().size() == 0u);
    BOOST_TEST(portsToTarget() == (Ports {40004}), boost::test_tools::per_element());
}

// Guards against balancers that take a target with held requests for one with room.
BOOST_AUTO_TEST_CASE(agentWithHeldRequestReportsItAsWaiting)
{
    forward(fourth.data(1));
    forward(urgent.opening(), ForwardMode::Open, false, 0);
    for (const auto &[peer, message] : output.toPeers) {
        if (message.has_returned()) {
            BOOST_TEST(message.returned().load().busy() == 4u);
        }
    }
    BOOST_TEST(returned().has_value());
}

// Guards against held requests that are lost when the target starts again.
BOOST_AUTO_TEST_CASE(agentWithTargetRestartPassesHeldRequestOn)
{
    forward(fourth.data(1));
    report(1, 9000);
    BOOST_TEST(portsToTarget() == (Ports {40004}), boost::test_tools::per_element());
    BOOST_TEST(agent.gate().size() == 0u);
}

// Guards against held requests that wait after the end of the target. The announcement may be a late one of an earlier
// start, so the target itself, or its VM, gets the request.
BOOST_AUTO_TEST_CASE(agentWithTargetThatLeftPassesHeldRequestOn)
{
    forward(fourth.data(1));
    agent.onTargetLeft(now, "desk-1");
    BOOST_TEST(portsToTarget() == (Ports {40004}), boost::test_tools::per_element());
    BOOST_TEST(agent.gate().size() == 0u);
}

// Guards against held requests that are lost when the target ends.
BOOST_AUTO_TEST_CASE(agentWithEndedTargetReturnsHeldRequest)
{
    agent.onTargetLeft(now, "desk-1");
    advance(2020);
    forward(fourth.data(1));
    BOOST_TEST((returned() == ReturnReason::NotHeld));
    BOOST_TEST(agent.gate().size() == 0u);
}

// Guards against a caller that waits for the hold time although the target has closed its flow.
BOOST_AUTO_TEST_CASE(agentWithFlowClosedByTargetPassesHeldRequestOn)
{
    forward(fourth.data(1));
    agent.onTargetPacket(now, closing(fourth.answer(false, 0)));
    BOOST_TEST(portsToTarget() == (Ports {40004}), boost::test_tools::per_element());
}

// Guards against requests of flows that the target does not hold, which would wait until they are dropped.
BOOST_AUTO_TEST_CASE(agentWithReturnedFlowPassesHeldRequestOn)
{
    forward(fourth.data(1));
    agent.onTargetPacket(now, RelayCaller::returned(fourth.data(1, 0)));
    BOOST_TEST(portsToTarget() == (Ports {40004}), boost::test_tools::per_element());
}

// Guards against requests that count as being at the target for ever: on lsgc-edge-grown, agents reported up to 29
// requests at targets that hold ten, and refused all flows of the least urgent service.
BOOST_AUTO_TEST_CASE(meterWithRequestOnClosedFlowCountsNone)
{
    agent.onTargetPacket(now, closing(fourth.answer(false, 0)));
    forward(closing(fourth.data(1, 0)));
    forward(fourth.data(1));
    BOOST_TEST(agent.meter().busy() == 3u);
}

// Guards against requests that count as being at the target for ever, since both sides closed their flow while the
// target had not answered.
BOOST_AUTO_TEST_CASE(meterWithFlowClosedBeforeAnswerEndsItsRequest)
{
    PlainPacketFormat::Bytes reset = first.head();
    reset.reset = true;
    forward(PlainPacketFormat::encode(reset));
    BOOST_TEST(agent.meter().busy() == 2u);
    advance(12000);
    BOOST_TEST(agent.meter().busy() == 0u);
}

// Guards against requests of callers that have given up.
BOOST_AUTO_TEST_CASE(agentWithCallerGoneDropsHeldRequestAndPassesReset)
{
    forward(fourth.data(1));
    PlainPacketFormat::Bytes reset = fourth.head();
    reset.reset = true;
    forward(PlainPacketFormat::encode(reset));
    BOOST_REQUIRE(output.toTarget.size() == 1u);
    BOOST_TEST(PlainPacketFormat::bytesOf(output.toTarget[0]).reset);
    BOOST_TEST(agent.counters().heldAbandoned == 1u);
}

// Guards against an end of the flow that overtakes the request before it.
BOOST_AUTO_TEST_CASE(agentWithHeldRequestKeepsEndOfFlowBehindIt)
{
    forward(fourth.data(1));
    forward(closing(fourth.data(101, 0)));
    BOOST_TEST(output.toTarget.empty());
    agent.onTargetPacket(now, first.answer(false, 50));
    BOOST_REQUIRE(output.toTarget.size() == 2u);
    BOOST_TEST(PlainPacketFormat::bytesOf(output.toTarget[1]).closing);
}

// Guards against held requests that are lost when the agent exits.
BOOST_AUTO_TEST_CASE(agentAtShutdownPassesHeldRequestOnAndHoldsNoOther)
{
    forward(fourth.data(1));
    agent.beginLeave(now);
    BOOST_TEST(portsToTarget() == (Ports {40004}), boost::test_tools::per_element());
    output.clear();
    agent.onTargetPacket(now, fourth.answer(false, 50));
    forward(fourth.data(101));
    BOOST_TEST(output.toTarget.size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
