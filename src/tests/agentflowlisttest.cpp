#define BOOST_TEST_MODULE AgentFlowList
#include "tests/relaysimulation.h"

#include <boost/test/unit_test.hpp>

using namespace rhubarblane;

namespace
{

// Start of the target and the agent in Unix milliseconds.
constexpr std::int64_t Started = 1700000000000;

struct AgentFlowListFixture {
    static Peer self()
    {
        Peer peer = relayPeer("agent-1", PeerRole::Agent, 9);
        peer.incarnation = Started;
        return peer;
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

    void open(const RelayCaller &sender)
    {
        wire::relay::Message message;
        message.mutable_forward()->set_group(groupIdOf("desk").value());
        message.mutable_forward()->set_accepted_wait_ms(100);
        message.mutable_forward()->set_packet(sender.opening());
        agent.onPeerMessage(now, balancer, message);
        agent.onTargetPacket(now, sender.answer(true, 0));
    }

    /** Requests the agent's list and returns the answer. */
    wire::relay::FlowList list(std::uint64_t id = 0, std::uint64_t since = 0, const std::string &group = "desk")
    {
        output.clear();
        wire::relay::Message message;
        message.mutable_flow_list_request()->set_group(groupIdOf(group).value());
        message.mutable_flow_list_request()->set_list(id);
        message.mutable_flow_list_request()->set_since(since);
        message.mutable_flow_list_request()->set_request(77);
        agent.onPeerMessage(now, balancer, message);
        BOOST_REQUIRE(output.toPeers.size() == 1u);
        BOOST_REQUIRE(output.toPeers[0].second.has_flow_list());
        BOOST_TEST(output.toPeers[0].second.flow_list().request() == 77u);
        return output.toPeers[0].second.flow_list();
    }

    Timestamp now {100000};
    PlainPacketFormat format;
    RecordedOutput output;
    PeerAddress balancer {0x0a000001, 7720};
    RelayAgent agent {{self(), "desk", Milliseconds(1000), {}}, now, format, output};
    RelayCaller caller {40001};
    RelayCaller other {40002};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AgentFlowListTest, AgentFlowListFixture)

// Guards against open flows that are missing in a list, which would be reset.
BOOST_AUTO_TEST_CASE(agentListsAllFlowsAndThenLaterOnesOnly)
{
    report(1, Started);
    open(caller);
    const wire::relay::FlowList all = list();
    BOOST_REQUIRE(all.flows_size() == 1);
    BOOST_TEST(all.flows(0) == flowHashOf(caller.flow).value());
    BOOST_TEST(!all.untracked());
    open(other);
    const wire::relay::FlowList later = list(all.list(), all.until());
    BOOST_REQUIRE(later.flows_size() == 1);
    BOOST_TEST(later.flows(0) == flowHashOf(other.flow).value());
    BOOST_TEST(list(all.list(), later.until()).flows_size() == 0);
    BOOST_TEST(list(all.list() + 1, later.until()).flows_size() == 2);
}

// Guards against a denial by an agent at an address that went to another group.
BOOST_AUTO_TEST_CASE(agentOfOtherGroupListsNothing)
{
    report(1, Started);
    open(caller);
    const wire::relay::FlowList answer = list(0, 0, "intake");
    BOOST_TEST(answer.wrong_group());
    BOOST_TEST(answer.flows_size() == 0);
}

// Guards against the reset of flows that a restarted agent has no record of.
BOOST_AUTO_TEST_CASE(agentRestartedBesideRunningTargetListsFlowsAsUntracked)
{
    BOOST_TEST(list().untracked());
    report(40, Started - 30000);
    BOOST_TEST(list().untracked());
}

// Guards against searches that deliver a packet of each lost flow to each target after a power failure: targets start
// before their agents, and the agents miss their first reports.
BOOST_AUTO_TEST_CASE(agentStartedTogetherWithTargetTracksAllFlows)
{
    now = now + Milliseconds(100);
    report(4, Started - 200);
    BOOST_TEST(!list().untracked());
}

// Guards against a target that has already been answered once by an earlier agent and may hold flows of it.
BOOST_AUTO_TEST_CASE(agentOfTargetThatIsOlderThanReportIntervalTracksNotAllFlows)
{
    now = now + Milliseconds(100);
    report(4, Started - 700);
    BOOST_TEST(list().untracked());
}

BOOST_AUTO_TEST_SUITE_END()
