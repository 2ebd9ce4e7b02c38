#ifndef RHUBARBLANE_TESTS_RELAYBALANCERFIXTURE_H
#define RHUBARBLANE_TESTS_RELAYBALANCERFIXTURE_H

#include "relay/relayflow.h"
#include "tests/relaysimulation.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace rhubarblane
{

/** A balancer with two agents in one group, whose messages the tests write. */
struct RelayBalancerFixture {
    RelayBalancerFixture()
    {
        balancer.onTable(now, relayTable(7), "test");
    }

    void report(const Peer &agent,
                std::uint64_t sequence,
                TargetState state = TargetState::Ready,
                const std::string &group = "desk",
                std::uint32_t busy = 0)
    {
        wire::relay::Message message;
        wire::relay::Report *report = message.mutable_report();
        *report->mutable_agent() = toWire(agent);
        report->set_group(group);
        report->mutable_load()->set_sequence(sequence);
        report->mutable_load()->set_slots(2);
        report->mutable_load()->set_busy(busy);
        report->mutable_load()->set_state(static_cast<std::uint32_t>(state));
        report->set_interval_ms(250);
        balancer.onPeerMessage(now, agent.address, message);
    }

    void returnPacket(const Peer &agent, std::uint64_t sequence, ReturnReason reason, const std::string &packet)
    {
        wire::relay::Message message;
        wire::relay::Returned *returned = message.mutable_returned();
        returned->set_reason(static_cast<std::uint32_t>(reason));
        returned->mutable_load()->set_sequence(sequence);
        returned->mutable_load()->set_slots(2);
        returned->mutable_load()->set_busy(4);
        returned->mutable_load()->set_state(static_cast<std::uint32_t>(TargetState::Ready));
        if (reason == ReturnReason::Cold) {
            returned->mutable_load()->set_cold_for_ms(5000);
            returned->mutable_load()->set_cold_openings_left(1); // None.
        }
        returned->set_packet(packet);
        balancer.onPeerMessage(now, agent.address, message);
    }

    void answer(const Peer &agent, const RelayCaller &sender, FlowPresence presence)
    {
        wire::relay::Message message;
        wire::relay::FlowAnswer *answer = message.mutable_flow_answer();
        answer->mutable_flow()->set_caller_address(sender.flow.callerAddress);
        answer->mutable_flow()->set_caller_port(sender.flow.callerPort);
        answer->mutable_flow()->set_service_address(sender.flow.serviceAddress);
        answer->mutable_flow()->set_service_port(sender.flow.servicePort);
        answer->set_presence(static_cast<std::uint32_t>(presence));
        balancer.onPeerMessage(now, agent.address, message);
    }

    /** Returns the agents to which packets were forwarded, in order. */
    std::vector<PeerAddress> forwarded() const
    {
        std::vector<PeerAddress> result;
        for (const auto &[peer, message] : output.toPeers) {
            if (message.has_forward()) {
                result.push_back(peer);
            }
        }
        return result;
    }

    /** Returns the agents that received a flow query, in order. */
    std::vector<PeerAddress> queried() const
    {
        std::vector<PeerAddress> result;
        for (const auto &[peer, message] : output.toPeers) {
            if (message.has_flow_query()) {
                result.push_back(peer);
            }
        }
        return result;
    }

    /** Returns the agents that received a request for their list of flows, in order. */
    std::vector<PeerAddress> listsRequested() const
    {
        std::vector<PeerAddress> result;
        for (const auto &[peer, message] : output.toPeers) {
            if (message.has_flow_list_request()) {
                result.push_back(peer);
            }
        }
        return result;
    }

    /** Lets an agent answer the last request for its list with the given flows. */
    void sendList(const Peer &agent, const std::vector<FlowTuple> &flows = {}, bool untracked = false)
    {
        wire::relay::Message list;
        for (const auto &[peer, message] : output.toPeers) {
            if (peer == agent.address && message.has_flow_list_request()) {
                list.mutable_flow_list()->set_request(message.flow_list_request().request());
            }
        }
        list.mutable_flow_list()->set_list(agent.incarnation);
        list.mutable_flow_list()->set_until(flows.size());
        list.mutable_flow_list()->set_parts(1);
        list.mutable_flow_list()->set_untracked(untracked);
        for (const FlowTuple &flow : flows) {
            list.mutable_flow_list()->add_flows(flowHashOf(flow).value());
        }
        balancer.onPeerMessage(now, agent.address, list);
    }

    /** Notifies the balancer that an agent exits. */
    void leave(const Peer &agent, bool targetEnded)
    {
        wire::relay::Message message;
        *message.mutable_hello()->mutable_sender() = toWire(agent);
        message.mutable_hello()->set_leaving(true);
        message.mutable_hello()->set_target_ended(targetEnded);
        balancer.onPeerMessage(now, agent.address, message);
    }

    /** Sends a packet of a flow of which the second agent holds nothing, and lets that agent deny the flow. */
    void searchDeniedBySecond()
    {
        balancer.onCallerPacket(now, caller.data(1));
        answer(second, caller, FlowPresence::Absent);
    }

    /** Advances the time while only the second agent sends reports. */
    void advanceWithSecond(std::int64_t seconds)
    {
        for (std::int64_t i = 0; i < seconds; ++i) {
            report(second, ++secondSequence);
            advance(1000);
        }
        report(second, ++secondSequence);
    }

    void advance(std::int64_t milliseconds)
    {
        const Timestamp end = now + Milliseconds(milliseconds);
        while (now < end) {
            now = now + Milliseconds(20);
            balancer.onTick(now);
        }
    }

    /** Makes both agents known, reads the peers from the store and waits for the end of the discovery period. */
    void discoverAll()
    {
        balancer.onStorePeers(now, {first, second}, LeaseHistory::Kept);
        report(first, 1);
        report(second, 1);
        advance(800);
        report(first, 2);
        report(second, 2);
        output.clear();
    }

    Timestamp now {100000};
    PlainPacketFormat format;
    RecordedOutput output;
    RelayBalancer balancer {{relayPeer("balancer-1", PeerRole::Balancer, 1), {}, 1000, 1}, now, format, output};
    Peer first = relayPeer("agent-1", PeerRole::Agent, 11);
    Peer second = relayPeer("agent-2", PeerRole::Agent, 12);
    std::uint64_t secondSequence = 100;
    RelayCaller caller {40001};
};

} // namespace rhubarblane

#endif
