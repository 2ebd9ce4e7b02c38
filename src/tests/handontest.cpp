#define BOOST_TEST_MODULE HandOn
#include "relay/handon.h"
#include "bench/evenloadsimulation.h"
#include "relay/relayflow.h"
#include "tests/relaysimulation.h"

#include <boost/test/unit_test.hpp>

using namespace rhubarblane;

namespace
{

const PeerAddress balancerAddress {0x0a000001, 7720};

struct HandOnAgentFixture {
    explicit HandOnAgentFixture()
    {
        TargetReport report;
        report.target = "desk-1";
        report.group = "desk";
        report.started = 5000;
        report.sequence = 1;
        report.slots = 1;
        agent.onTargetReport(now, report);
    }

    static wire::relay::Message opening(const RelayCaller &caller, const std::vector<PeerAddress> &candidates)
    {
        wire::relay::Message message;
        message.mutable_forward()->set_group(groupIdOf("desk").value());
        message.mutable_forward()->set_packet(caller.opening());
        HandOn::setCandidates(*message.mutable_forward(), candidates);
        return message;
    }

    void occupySlot()
    {
        agent.onPeerMessage(now, balancerAddress, opening(RelayCaller(40000), {}));
        output.clear();
    }

    Timestamp now {100000};
    PlainPacketFormat format;
    RecordedOutput output;
    PeerAddress second {0x0b000002, 7720};
    PeerAddress third {0x0b000003, 7720};
    RelayAgent agent {{relayPeer("agent-1", PeerRole::Agent, 9), "desk", Milliseconds(1000), {}}, now, format, output};
    RelayCaller caller {40001};
};

struct HandOnBalancerFixture {
    HandOnBalancerFixture()
    {
        balancer.onTable(now, relayTable(7), "test");
        reportAll();
        balancer.onCallerPacket(now, caller.opening());
        offered = lastForward();
        output.clear();
    }

    void report(const Peer &agent)
    {
        wire::relay::Message message;
        *message.mutable_report()->mutable_agent() = toWire(agent);
        message.mutable_report()->set_group("desk");
        message.mutable_report()->set_interval_ms(1000);
        message.mutable_report()->mutable_load()->set_sequence(++sequence);
        message.mutable_report()->mutable_load()->set_slots(2);
        message.mutable_report()->mutable_load()->set_state(static_cast<std::uint32_t>(TargetState::Ready));
        balancer.onPeerMessage(now, agent.address, message);
    }

    void reportAll()
    {
        for (const Peer &agent : agents) {
            report(agent);
        }
    }

    /** Returns the agent and message of the last packet that was forwarded. */
    std::pair<PeerAddress, wire::relay::Forward> lastForward() const
    {
        std::pair<PeerAddress, wire::relay::Forward> last;
        for (const auto &[peer, message] : output.toPeers) {
            if (message.has_forward()) {
                last = {peer, message.forward()};
            }
        }
        return last;
    }

    PeerAddress candidate(int index) const
    {
        const wire::relay::Address &address = offered.second.candidates(index);
        return {address.address(), static_cast<std::uint16_t>(address.port())};
    }

    void answerOpened(const PeerAddress &agent)
    {
        wire::relay::Message message;
        *message.mutable_flow_answer()->mutable_flow() = toRelayFlow(caller.flow);
        message.mutable_flow_answer()->set_presence(static_cast<std::uint32_t>(FlowPresence::Opened));
        balancer.onPeerMessage(now, agent, message);
    }

    void returnOffer(const PeerAddress &agent)
    {
        wire::relay::Message message;
        message.mutable_returned()->set_packet(caller.opening());
        balancer.onPeerMessage(now, agent, message);
    }

    void advance(std::int64_t milliseconds)
    {
        const Timestamp end = now + Milliseconds(milliseconds);
        while (now < end) {
            now = now + Milliseconds(20);
            balancer.onTick(now);
        }
    }

    Timestamp now {100000};
    PlainPacketFormat format;
    RecordedOutput output;
    RelayBalancer balancer {{relayPeer("balancer-1", PeerRole::Balancer, 1), {}, 1000, 1}, now, format, output};
    std::vector<Peer> agents {relayPeer("agent-1", PeerRole::Agent, 11),
                              relayPeer("agent-2", PeerRole::Agent, 12),
                              relayPeer("agent-3", PeerRole::Agent, 13),
                              relayPeer("agent-4", PeerRole::Agent, 14)};
    std::uint64_t sequence = 0;
    RelayCaller caller {40001};
    std::pair<PeerAddress, wire::relay::Forward> offered;
};

} // namespace

BOOST_AUTO_TEST_SUITE(HandOnTest)

// Guards against flows that wait at a long queue although a candidate behind it has a short one.
BOOST_AUTO_TEST_CASE(acceptedWaitIsHalvedForEachFurtherCandidate)
{
    wire::relay::Forward forward;
    forward.set_accepted_wait_ms(80);
    HandOn::setCandidates(forward, {{1, 1}, {2, 1}});
    BOOST_TEST(HandOn::acceptedWait(forward).count() == 20);
    HandOn::takeNext(forward, balancerAddress);
    BOOST_TEST(HandOn::acceptedWait(forward).count() == 40);
    HandOn::takeNext(forward, balancerAddress);
    BOOST_TEST(HandOn::acceptedWait(forward).count() == 80);
}

// Guards against packets that circulate among agents, and against answers to an address that is none.
BOOST_AUTO_TEST_CASE(handOnWithInvalidListReturnsPacket)
{
    wire::relay::Forward forward;
    HandOn::setCandidates(forward, {{1, 1}, {2, 1}, {3, 1}, {4, 1}});
    BOOST_TEST(!HandOn::takeNext(forward, balancerAddress).has_value());
    wire::relay::Forward withoutPort;
    HandOn::setCandidates(withoutPort, {{1, 0}});
    BOOST_TEST(!HandOn::takeNext(withoutPort, balancerAddress).has_value());
    withoutPort.mutable_balancer()->set_address(5);
    BOOST_TEST((HandOn::balancerOf(withoutPort, balancerAddress) == balancerAddress));
}

// Load: 10 balancers and 35 targets with loads of 250 ms, at 90% of their capacity. Guards against many balancers that
// choose the same targets by the same outdated loads.
BOOST_AUTO_TEST_CASE(fleetAtHighLoadWithHandOnReturnsHalfOfOffersAndWaitsLess)
{
    EvenLoadOptions options;
    options.spanMs = 12000;
    const EvenLoadResult without = simulateEvenLoad(options);
    options.candidates = 2;
    const EvenLoadResult with = simulateEvenLoad(options);
    BOOST_TEST(with.returned * 2 <= without.returned);
    BOOST_TEST(with.messages <= without.messages);
    BOOST_TEST(with.waitP99 <= 0.85 * without.waitP99);
    BOOST_TEST(with.refused * 100 <= with.flows);
}

// Load: as above, while all reports arrive 3 s late. Guards against estimates that hold only while reports are timely.
BOOST_AUTO_TEST_CASE(fleetWithLateReportsServesNearlyAllFlows)
{
    EvenLoadOptions options;
    options.spanMs = 12000;
    options.candidates = 2;
    options.reportDelayMs = 3000;
    const EvenLoadResult late = simulateEvenLoad(options);
    BOOST_TEST(late.refused * 50 <= late.flows);
    BOOST_TEST(late.waitP99 <= 150.0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(HandOnAgentTest, HandOnAgentFixture)

// Guards against a round trip to the balancer for each agent without room.
BOOST_AUTO_TEST_CASE(agentWithBusySlotHandsPacketOnAndNamesBalancer)
{
    occupySlot();
    agent.onPeerMessage(now, balancerAddress, opening(caller, {second, third}));
    BOOST_REQUIRE(output.toPeers.size() == 1u);
    BOOST_TEST((output.toPeers[0].first == second));
    const wire::relay::Forward &forward = output.toPeers[0].second.forward();
    BOOST_TEST(forward.candidates_size() == 1);
    BOOST_TEST((HandOn::balancerOf(forward, {}) == balancerAddress));
    BOOST_TEST(forward.packet() == caller.opening());
    BOOST_TEST(agent.counters().handedOn == 1u);
    BOOST_TEST(agent.counters().returnedBusy == 0u);
}

// Guards against a flow that gets no further offer after the last candidate.
BOOST_AUTO_TEST_CASE(agentThatIsLastCandidateReturnsPacketToBalancer)
{
    occupySlot();
    wire::relay::Message message = opening(caller, {PeerAddress {0x0b000001, 7720}});
    HandOn::takeNext(*message.mutable_forward(), balancerAddress);
    agent.onPeerMessage(now, second, message);
    BOOST_REQUIRE(output.toPeers.size() == 1u);
    BOOST_TEST((output.toPeers[0].first == balancerAddress));
    BOOST_TEST(output.toPeers[0].second.has_returned());
}

// Guards against a balancer that does not learn which target holds its flow.
BOOST_AUTO_TEST_CASE(agentThatAcceptsHandedOnFlowNotifiesBalancer)
{
    wire::relay::Message message = opening(caller, {PeerAddress {0x0b000001, 7720}});
    HandOn::takeNext(*message.mutable_forward(), balancerAddress);
    agent.onPeerMessage(now, second, message);
    BOOST_TEST(output.toTarget.size() == 1u);
    agent.onTargetPacket(now, caller.answer(true, 0));
    BOOST_REQUIRE(output.toPeers.size() == 1u);
    BOOST_TEST((output.toPeers[0].first == balancerAddress));
    BOOST_TEST(output.toPeers[0].second.flow_answer().presence() == static_cast<std::uint32_t>(FlowPresence::Opened));
}

// Guards against a lost or doubled flow if the second candidate has restarted and has no report of its target yet.
BOOST_AUTO_TEST_CASE(agentThatHasJustRestartedHandsPacketOnWithoutDelivery)
{
    RecordedOutput freshOutput;
    RelayAgent fresh(
        {relayPeer("agent-2", PeerRole::Agent, 10), "desk", Milliseconds(1000), {}}, now, format, freshOutput);
    wire::relay::Message message = opening(caller, {second, third});
    HandOn::takeNext(*message.mutable_forward(), balancerAddress);
    fresh.onPeerMessage(now, second, message);
    BOOST_REQUIRE(freshOutput.toPeers.size() == 1u);
    BOOST_TEST((freshOutput.toPeers[0].first == third));
    BOOST_TEST(freshOutput.toTarget.empty());
}

// Guards against a return to the balancer by an agent that shuts down, while candidates have room.
BOOST_AUTO_TEST_CASE(agentThatLeavesHandsPacketOn)
{
    agent.beginLeave(now);
    agent.onPeerMessage(now, balancerAddress, opening(caller, {second}));
    BOOST_REQUIRE(output.toPeers.size() == 1u);
    BOOST_TEST((output.toPeers[0].first == second));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(HandOnBalancerTest, HandOnBalancerFixture)

// Guards against packets of a flow to the agent that handed it on.
BOOST_AUTO_TEST_CASE(balancerWithFlowOpenedByCandidateTakesItAsOwner)
{
    answerOpened(candidate(1));
    balancer.onCallerPacket(now, caller.opening());
    BOOST_TEST((lastForward().first == candidate(1)));
    BOOST_TEST(lastForward().second.candidates_size() == 0);
    balancer.onCallerPacket(now, caller.data(1));
    BOOST_TEST((lastForward().first == candidate(1)));
    BOOST_TEST(balancer.counters().flowsHandedOn == 1u);
    BOOST_TEST(output.hasDecision("flowHandedOn"));
}

// Guards against a flow that waits for a timeout when the last candidate returns it.
BOOST_AUTO_TEST_CASE(balancerWithOfferReturnedByLastCandidateMakesLastOffer)
{
    returnOffer(candidate(1));
    BOOST_TEST(lastForward().second.accepted_wait_ms() > 0u);
    output.clear();
    returnOffer(lastForward().first);
    BOOST_TEST(output.toPeers.empty());
}

// Guards against a second copy of an offer that another agent returns late.
BOOST_AUTO_TEST_CASE(balancerWithReturnOfAgentWithoutOfferIgnoresIt)
{
    for (const Peer &agent : agents) {
        const bool asked =
            agent.address == offered.first || agent.address == candidate(0) || agent.address == candidate(1);
        if (!asked) {
            returnOffer(agent.address);
        }
    }
    BOOST_TEST(lastForward().first.port == 0);
}

// Guards against repeated offers to an agent whose VM has failed.
BOOST_AUTO_TEST_CASE(balancerWithSilentFirstAgentExcludesItAndOffersAgain)
{
    advance(60);
    BOOST_TEST(balancer.targets().find(offered.first)->offerUnanswered);
    BOOST_TEST((lastForward().first != offered.first));
    BOOST_TEST(lastForward().first.port != 0);
}

// Guards against flows that are offered on and on after a power failure, when agents wait for their CPU share, while
// another balancer could open them.
BOOST_AUTO_TEST_CASE(balancerWithUnansweredOffersRefusesAfterTwo)
{
    std::size_t offers = 1;
    for (int i = 0; i < 6; ++i) {
        reportAll();
        advance(20);
    }
    for (const auto &[peer, message] : output.toPeers) {
        offers += message.has_forward() ? 1 : 0;
    }
    BOOST_TEST(offers == 2u);
    BOOST_TEST(output.toCallers.size() == 1u);
}

// Guards against the exclusion of a sound target because a candidate behind it has failed.
BOOST_AUTO_TEST_CASE(balancerWithSilentCandidateKeepsFirstAgent)
{
    now = now + Milliseconds(20);
    reportAll();
    advance(40);
    BOOST_TEST(!balancer.targets().find(offered.first)->offerUnanswered);
    BOOST_TEST(balancer.counters().offersUnanswered == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
