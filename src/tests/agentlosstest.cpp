#define BOOST_TEST_MODULE AgentLoss
#include "tests/agentharness.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <set>

using namespace rhubarblane;

namespace
{

struct LossFixture : AgentHarness {
    /** Returns a flow whose home is agent 0 and whose first candidate is another agent. */
    FlowTuple remoteFlow()
    {
        std::uint16_t port = 2000;
        while (homeOf(flow(port)) != 0 || firstCandidate(flow(port)) == 0) {
            ++port;
        }
        return flow(port);
    }

    std::size_t firstCandidate(const FlowTuple &tuple)
    {
        return indexOf(candidatesFor(tuple, agent(0).roster()).front());
    }

    void open(const FlowTuple &tuple)
    {
        sendTo(0, tuple, buildUdpRequest(tuple, "first"));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AgentLossTest, LossFixture)

// Guards against a second owner of a flow whose placement result was lost.
BOOST_AUTO_TEST_CASE(lostPlaceResultLeavesOneOwner)
{
    startUnequalGroup(3);
    int lost = 0;
    isLost = [&](const Datagram &datagram) { return datagram.message.has_place_result() && ++lost <= 3; };
    const FlowTuple tuple = remoteFlow();
    open(tuple);
    sendTo(0, tuple, buildUdpRequest(tuple, "second"));
    run(1500);
    BOOST_TEST(ownersOf(tuple).size() == 1u);
    BOOST_TEST(ownersOf(tuple).begin()->second == 2u);
    BOOST_TEST(agent(0).counters().unknown == 0u);
}

// Guards against a flow that stays undecided because the Place message was lost.
BOOST_AUTO_TEST_CASE(lostPlaceIsRepeatedAfterCandidatesDenied)
{
    startUnequalGroup(3);
    int lost = 0;
    isLost = [&](const Datagram &datagram) { return datagram.message.has_place() && ++lost <= 1; };
    const FlowTuple tuple = remoteFlow();
    open(tuple);
    run(1500);
    BOOST_TEST(ownersOf(tuple).size() == 1u);
    BOOST_TEST(ownersOf(tuple).begin()->second == 1u);
}

// Guards against acceptance of a Place message that arrives after the candidate has answered the home that it does not
// own the flow.
BOOST_AUTO_TEST_CASE(placeThatArrivesAfterCancellationIsNotAccepted)
{
    startUnequalGroup(3);
    int places = 0;
    delayOf = [&](const Datagram &datagram) { return datagram.message.has_place() && ++places == 1 ? 3000 : 1; };
    const FlowTuple tuple = remoteFlow();
    open(tuple);
    run(1500);
    BOOST_REQUIRE(ownersOf(tuple).size() == 1u);
    const std::size_t owner = ownerOf(tuple).value();
    agent(owner).handleTargetClosed(Timestamp(now), tuple, deliveries.back().number);
    run(4000);
    BOOST_TEST(ownersOf(tuple).size() == 1u);
    BOOST_TEST(ownersOf(tuple).begin()->second == 1u);
}

// Guards against a duplicate of a Place message being accepted by a candidate that has already forwarded it to the next
// one.
BOOST_AUTO_TEST_CASE(duplicateOfForwardedPlaceIsNotAccepted)
{
    startUnequalGroup(2);
    const FlowTuple tuple = remoteFlow();
    const std::size_t first = firstCandidate(tuple);
    std::optional<Datagram> copy;
    isLost = [&](const Datagram &datagram) {
        if (datagram.message.has_place() && datagram.to == first && !copy) {
            copy = datagram;
        }
        return false;
    };
    std::vector<FlowTuple> fillers;
    for (std::uint16_t port = 9000; agent(first).flows().size() < 2; ++port) {
        if (homeOf(flow(port)) == first && firstCandidate(flow(port)) == first) {
            sendTo(first, flow(port), buildUdpRequest(flow(port), "first"));
            run(10);
        }
    }
    open(tuple);
    run(30);
    BOOST_REQUIRE(copy.has_value());
    BOOST_REQUIRE(ownerOf(tuple).value() != first);
    for (const Delivery &delivery : std::vector<Delivery>(deliveries)) {
        if (delivery.agent == first) {
            agent(first).handleTargetClosed(Timestamp(now), delivery.flow, delivery.number);
        }
    }
    post(copy->from, first, wire::Envelope(copy->message));
    run(50);
    BOOST_TEST(ownersOf(tuple).size() == 1u);
}

// Guards against a "not run" answer, or a second run, if the candidate dies after it may have run the request.
BOOST_AUTO_TEST_CASE(candidateThatDiesWithPlaceLeavesCallerWithUnknown)
{
    startUnequalGroup(3);
    const FlowTuple tuple = remoteFlow();
    const std::size_t candidate = firstCandidate(tuple);
    isLost = [&](const Datagram &datagram) { return datagram.from == candidate && !datagram.message.has_heartbeat(); };
    open(tuple);
    run(100);
    BOOST_TEST(ownersOf(tuple).count(candidate) == 1u);
    dead[candidate] = true;
    run(4000);
    BOOST_TEST(agent(0).counters().unknown == 1u);
    BOOST_TEST(agent(0).counters().refused == 0u);
    open(tuple);
    run(3000);
    open(tuple);
    run(100);
    BOOST_TEST(ownersOf(tuple).size() == 1u);
}

// Guards against a second run, a split flow or a run after a refusal while datagrams are lost, duplicated and delayed,
// and members join, drain and die.
BOOST_AUTO_TEST_CASE(randomLossAndMembershipChangesKeepGuarantees)
{
    std::size_t opened = 0;
    std::size_t ran = 0;
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        std::mt19937_64 random(seed);
        AgentHarness net;
        net.service.set_at_most_once(true);
        std::uint64_t lossPercent = 0;
        bool duplicating = false;
        net.isLost = [&](const Datagram &datagram) {
            if (random() % 100 < lossPercent) {
                return true;
            }
            if (lossPercent > 0 && !duplicating && random() % 100 < 20) {
                duplicating = true;
                net.post(datagram.from, datagram.to, wire::Envelope(datagram.message));
                duplicating = false;
            }
            return false;
        };
        net.delayOf = [&](const Datagram &) {
            return lossPercent == 0 ? 1
                                    : static_cast<std::int64_t>(random() % 100 < 5 ? random() % 4000 : random() % 10);
        };
        net.startGroup(5);
        lossPercent = 10;
        std::set<std::uint16_t> refusedPorts;
        std::uint16_t port = 1000;
        for (int round = 0; round < 150; ++round) {
            if (round % 30 == 20) {
                net.add("joiner-" + std::to_string(round));
            }
            if (round % 30 == 29) {
                const std::size_t victim = random() % net.agents.size();
                if (round % 60 == 29) {
                    net.dead[victim] = true;
                } else if (!net.dead[victim]) {
                    net.agent(victim).beginDrain(Timestamp(net.now), Timestamp(net.now + 60000));
                }
            }
            const FlowTuple tuple = AgentHarness::flow(++port);
            ++opened;
            for (int copies = 0; copies < 3; ++copies) {
                net.sendTo(random() % net.agents.size(), tuple, buildUdpRequest(tuple, "first"));
            }
            net.run(static_cast<std::int64_t>(random() % 300));
            if (!net.deliveries.empty() && random() % 2 == 0) {
                const Delivery &delivery = net.deliveries[random() % net.deliveries.size()];
                net.agent(delivery.agent).handleTargetClosed(Timestamp(net.now), delivery.flow, delivery.number);
            }
        }
        net.run(20000);
        std::set<std::uint16_t> delivered;
        for (const Delivery &delivery : net.deliveries) {
            BOOST_TEST(delivered.insert(delivery.flow.callerPort).second);
        }
        for (const std::string &packet : net.toCallers) {
            // An ICMP refusal quotes the UDP header of the refused packet.
            if (packet[9] == 1 && packet[21] == 13) {
                const auto quoted = parsePacket(std::string_view(packet).substr(28));
                BOOST_TEST(delivered.count(std::get<PacketInfo>(quoted).flow.callerPort) == 0u);
            }
        }
        ran += delivered.size();
    }
    BOOST_TEST(ran > opened / 4);
    BOOST_TEST_MESSAGE("opened " << opened << ", ran " << ran);
}

BOOST_AUTO_TEST_SUITE_END()
