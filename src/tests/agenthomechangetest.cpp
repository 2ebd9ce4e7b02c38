#define BOOST_TEST_MODULE AgentHomeChange
#include "tests/agentharness.h"

#include <boost/test/unit_test.hpp>

using namespace rhubarblane;

namespace
{

struct HomeChangeFixture : AgentHarness {
    std::map<std::uint16_t, std::size_t> owners;

    void openFlows(std::uint16_t first, std::uint16_t count)
    {
        for (std::uint16_t port = first; port < first + count; ++port) {
            sendTo(port % agents.size(), flow(port), buildUdpRequest(flow(port), "first"));
            run(5);
        }
        run(50);
        for (std::uint16_t port = first; port < first + count; ++port) {
            BOOST_REQUIRE(ownerOf(flow(port)).has_value());
            owners[port] = ownerOf(flow(port)).value();
        }
    }

    AgentSettings settingsWithLargeQueue(const std::string &name)
    {
        AgentSettings settings = settingsFor(name, 1);
        settings.queueLimit = 1000;
        return settings;
    }

    void startGroupWithLargeQueues(std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i) {
            add(settingsWithLargeQueue("target-" + std::to_string(i)));
        }
        run(2000);
    }

    /** Sends a packet of each flow to an agent and returns the number of packets that do not reach the flow's owner. */
    std::size_t countMisdelivered(std::size_t entry)
    {
        std::size_t result = 0;
        for (const auto &[port, owner] : owners) {
            const std::size_t before = deliveries.size();
            sendTo(entry, flow(port), buildUdpRequest(flow(port), "more" + std::to_string(now)));
            run(15);
            result += deliveries.size() != before + 1 || deliveries.back().agent != owner ? 1 : 0;
        }
        return result;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AgentHomeChangeTest, HomeChangeFixture)

// Guards against open flows losing their owner when homes change, over many changes of the roster.
BOOST_AUTO_TEST_CASE(openFlowsKeepOwnersOverManyRosterChanges)
{
    startGroupWithLargeQueues(3);
    openFlows(2000, 30);
    for (int change = 0; change < 6; ++change) {
        const std::size_t joined = add(settingsWithLargeQueue("joiner-" + std::to_string(change)));
        run(2000);
        BOOST_TEST(agent(joined).self().state() == wire::SERVING);
        BOOST_TEST(countMisdelivered(joined) == 0u);
        if (change >= 2) {
            agent(joined - 1).beginDrain(Timestamp(now), Timestamp(now + 600000));
            run(4000);
            BOOST_TEST(agent(joined - 1).isDrained(Timestamp(now)));
        }
        BOOST_TEST(countMisdelivered(0) == 0u);
    }
}

// Guards against a new home placing open flows again because their registrations have not arrived yet.
BOOST_AUTO_TEST_CASE(homeWithoutRegistrationsAsksMembersBeforeItDecides)
{
    startGroupWithLargeQueues(3);
    openFlows(2000, 30);
    isLost = [](const Datagram &datagram) { return datagram.message.has_register_(); };
    const std::size_t joined = add(settingsWithLargeQueue("joiner"));
    run(1000);
    BOOST_TEST(countMisdelivered(joined) == 0u);
    BOOST_TEST(agent(joined).counters().queries > 0u);
}

// Guards against two homes with different rosters both placing one flow.
BOOST_AUTO_TEST_CASE(flowSentToOldAndNewHomeGetsOneOwner)
{
    startGroupWithLargeQueues(3);
    const std::size_t joined = add(settingsWithLargeQueue("joiner"));
    isLost = [&](const Datagram &datagram) {
        return datagram.message.has_heartbeat() && (datagram.from == joined || datagram.to == joined)
            && (datagram.from == 0 || datagram.to == 0);
    };
    std::size_t accepted = 0;
    for (std::uint16_t port = 3000; port < 3200; ++port) {
        sendTo(0, flow(port), buildUdpRequest(flow(port), "first"));
        sendTo(joined, flow(port), buildUdpRequest(flow(port), "first"));
        run(20);
        BOOST_TEST(ownersOf(flow(port)).size() <= 1u);
        accepted += ownersOf(flow(port)).size();
    }
    run(2000);
    BOOST_TEST(accepted > 100u);
}

// Guards against the loss of a home's decisions when it dies.
BOOST_AUTO_TEST_CASE(flowsOfDeadHomeAreFoundAfterRegistration)
{
    startGroupWithLargeQueues(5);
    openFlows(2000, 40);
    dead[0] = true;
    for (auto position = owners.begin(); position != owners.end();) {
        position = position->second == 0 ? owners.erase(position) : std::next(position);
    }
    run(5500);
    BOOST_TEST(owners.size() > 20u);
    BOOST_TEST(countMisdelivered(1) == 0u);
}

// Guards against a second run of a request that a dead home may have placed before: a duplicate of the opening packet
// must not be placed until the lease of the dead home and the packet lifetime are over.
BOOST_AUTO_TEST_CASE(openingPacketsOfDeadHomesFlowsAreDroppedInQuarantine)
{
    startGroupWithLargeQueues(3);
    const FlowTuple tuple = flowWithHome(0);
    dead[0] = true;
    run(5500);
    sendTo(1, tuple, buildUdpRequest(tuple, "first"));
    run(50);
    BOOST_TEST(ownersOf(tuple).empty());
    BOOST_TEST(agent(1).counters().unknown + agent(2).counters().unknown == 1u);
    run(12000);
    sendTo(1, tuple, buildUdpRequest(tuple, "first"));
    run(50);
    BOOST_TEST(ownersOf(tuple).size() == 1u);
}

// Guards against decisions that stay at a home forever because the FlowEnd message was lost.
BOOST_AUTO_TEST_CASE(decisionIsRemovedAlthoughFlowEndIsLost)
{
    startGroupWithLargeQueues(3);
    openFlows(2000, 20);
    isLost = [](const Datagram &datagram) { return datagram.message.has_flow_end(); };
    for (const Delivery &delivery : std::vector<Delivery>(deliveries)) {
        agent(delivery.agent).handleTargetClosed(Timestamp(now), delivery.flow, delivery.number);
    }
    run(500);
    for (std::size_t i = 0; i < 3; ++i) {
        BOOST_TEST(agent(i).decisions() == 0u);
    }
}

// Guards against a member that rejoins after it was declared gone and keeps flows whose callers have been notified that
// their requests may have run.
BOOST_AUTO_TEST_CASE(returningMemberEndsFlowsWhoseCallersWereNotified)
{
    startGroupWithLargeQueues(3);
    openFlows(2000, 30);
    isLost = [](const Datagram &datagram) { return (datagram.from == 0) != (datagram.to == 0); };
    run(5500);
    std::uint16_t notifiedPort = 0;
    for (const auto &[port, owner] : owners) {
        if (owner == 0 && homeOf(flow(port), 1) == 1) {
            notifiedPort = port;
        }
    }
    BOOST_REQUIRE(notifiedPort != 0);
    // Whether or not the flow is registered at the new home, its caller is notified that the request may have run.
    sendTo(1, flow(notifiedPort), buildUdpRequest(flow(notifiedPort), "more"));
    run(50);
    const auto unknown = agent(1).counters().unknown;
    BOOST_TEST(unknown == 1u);
    isLost = nullptr;
    run(3000);
    const std::size_t before = deliveries.size();
    sendTo(1, flow(notifiedPort), buildUdpRequest(flow(notifiedPort), "again"));
    run(50);
    BOOST_TEST(deliveries.size() - before <= 1u);
    BOOST_TEST(ownersOf(flow(notifiedPort)).size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
