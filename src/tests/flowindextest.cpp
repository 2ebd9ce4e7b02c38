#define BOOST_TEST_MODULE FlowIndex
#include "relay/flowindex.h"

#include <boost/test/unit_test.hpp>

using namespace rhubarblane;

namespace
{

struct FlowIndexFixture {
    /** Sends the due requests and returns those of this call. */
    std::vector<std::pair<PeerAddress, wire::relay::FlowListRequest>> sendDue(std::size_t agents = 2)
    {
        std::vector<std::pair<PeerAddress, wire::relay::FlowListRequest>> sent;
        index.sendDue(now, agents, [&sent](const PeerAddress &agent, const wire::relay::FlowListRequest &request) {
            sent.emplace_back(agent, request);
        });
        return sent;
    }

    wire::relay::FlowListRequest request(const PeerAddress &agent)
    {
        index.request(agent, group, now);
        const auto sent = sendDue();
        BOOST_REQUIRE(sent.size() == 1u);
        return sent[0].second;
    }

    static wire::relay::FlowList
    answer(const wire::relay::FlowListRequest &request, const std::vector<FlowHash> &flows, std::uint64_t list = 5)
    {
        wire::relay::FlowList head;
        head.set_request(request.request());
        head.set_list(list);
        head.set_since(request.list() == list ? request.since() : 0);
        head.set_until(head.since() + flows.size());
        return splitFlowList(head, flows)[0];
    }

    Timestamp now {10000};
    GroupId group {1};
    PeerAddress first {0x0a000001, 7720};
    PeerAddress second {0x0a000002, 7720};
    FlowHash flow {42};
    FlowIndex index;
};

} // namespace

using Knowledge = FlowIndex::Knowledge;

BOOST_FIXTURE_TEST_SUITE(FlowIndexTest, FlowIndexFixture)

// Guards against a denial by a list that is older than the packet of the flow.
BOOST_AUTO_TEST_CASE(indexDeniesFlowOnlyByListRequestedAfterItsPacket)
{
    BOOST_TEST((index.find(first, flow, now) == Knowledge::Unknown));
    index.add(first, answer(request(first), {}));
    BOOST_TEST((index.find(first, flow, now) == Knowledge::Absent));
    BOOST_TEST((index.find(first, flow, now + Milliseconds(1)) == Knowledge::Unknown));
    BOOST_TEST((index.find(second, flow, now) == Knowledge::Unknown));
}

// Guards against lists that are sent in full each time.
BOOST_AUTO_TEST_CASE(indexRequestsOnlyLaterFlowsOfTheSameList)
{
    index.add(first, answer(request(first), {flow, FlowHash(43)}));
    now = now + Milliseconds(100);
    const wire::relay::FlowListRequest next = request(first);
    BOOST_TEST(next.list() == 5u);
    BOOST_TEST(next.since() == 2u);
    index.add(first, answer(next, {FlowHash(44)}));
    BOOST_TEST((index.find(first, flow, now) == Knowledge::Listed));
    BOOST_TEST((index.find(first, FlowHash(44), now) == Knowledge::Listed));
    index.erase(first, flow);
    BOOST_TEST((index.find(first, flow, now) == Knowledge::Absent));
}

// Guards against flows of an earlier incarnation of an agent, whose numbers began anew.
BOOST_AUTO_TEST_CASE(indexWithOtherListReplacesFlows)
{
    index.add(first, answer(request(first), {flow}));
    now = now + Milliseconds(100);
    index.add(first, answer(request(first), {FlowHash(43)}, 6));
    BOOST_TEST((index.find(first, flow, now) == Knowledge::Absent));
    BOOST_TEST(index.size() == 1u);
}

// Guards against a denial by a list of which a part is missing, and against a late part of an earlier request.
BOOST_AUTO_TEST_CASE(indexWithMissingPartKnowsNothing)
{
    const wire::relay::FlowListRequest asked = request(first);
    std::vector<FlowHash> flows;
    for (std::uint64_t i = 0; i < 300; ++i) {
        flows.emplace_back(1000 + i);
    }
    wire::relay::FlowList head;
    head.set_request(asked.request());
    head.set_list(5);
    const std::vector<wire::relay::FlowList> parts = splitFlowList(head, flows);
    BOOST_REQUIRE(parts.size() == 3u);
    BOOST_TEST(!index.add(first, parts[0]));
    BOOST_TEST(!index.add(first, parts[2]));
    BOOST_TEST(!index.add(first, parts[2]));
    BOOST_TEST((index.find(first, flow, now) == Knowledge::Unknown));
    now = now + Milliseconds(200);
    const auto again = sendDue();
    BOOST_REQUIRE(again.size() == 1u);
    BOOST_TEST(!index.add(first, parts[1]));
    BOOST_TEST((index.find(first, flow, now) == Knowledge::Unknown));
}

// Guards against a list that leaves out flows beyond the largest number of parts and so denies them.
BOOST_AUTO_TEST_CASE(listWithMoreFlowsThanPartsHoldDeniesNone)
{
    const std::vector<FlowHash> flows(9000, flow);
    for (const wire::relay::FlowList &part : splitFlowList(wire::relay::FlowList(), flows)) {
        BOOST_TEST(part.untracked());
    }
}

// Answers the load of hundreds of unknown flows a second. Guards against one request per flow and agent.
BOOST_AUTO_TEST_CASE(indexWithManyUnknownFlowsSendsOneRequestPerAgentAndRound)
{
    constexpr std::size_t Agents = 300;
    std::size_t sent = 0;
    const Timestamp end = now + Milliseconds(1000);
    for (; now < end; now = now + Milliseconds(5)) {
        for (std::uint32_t i = 0; i < Agents; ++i) {
            index.request({0x0a000000 + i, 7720}, group, now);
        }
        for (const auto &[agent, asked] : sendDue(Agents)) {
            ++sent;
            index.add(agent, answer(asked, {}));
        }
    }
    BOOST_TEST(sent <= Agents * 2u);
}

// Guards against endless requests to an agent of an earlier version, and against flows that nobody is asked for.
BOOST_AUTO_TEST_CASE(indexWithAgentThatSendsNoListsStopsRequests)
{
    request(first);
    std::size_t repeated = 0;
    for (int i = 0; i < 100; ++i) {
        now = now + Milliseconds(50);
        repeated += sendDue().size();
    }
    BOOST_TEST(repeated == 2u);
    BOOST_TEST(index.sendsNoLists(first));
    BOOST_TEST((index.find(first, flow, now) == Knowledge::Untracked));
    BOOST_TEST(index.isIdle());
    index.add(first, answer(request(first), {}));
    BOOST_TEST(!index.sendsNoLists(first));
}

// Guards against memory for agents that have left.
BOOST_AUTO_TEST_CASE(indexRetainsKnownAgentsOnly)
{
    index.add(first, answer(request(first), {flow}));
    index.retain([](const PeerAddress &) { return false; });
    BOOST_TEST(index.size() == 0u);
    BOOST_TEST((index.find(first, flow, now) == Knowledge::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()
