#ifndef RHUBARBLANE_RELAY_RELAYAGENT_H
#define RHUBARBLANE_RELAY_RELAYAGENT_H

#include "base/clock.h"
#include "relay/agentpeers.h"
#include "relay/packetformat.h"
#include "relay/relayagentcounters.h"
#include "relay/relayoutput.h"
#include "relay/targetflows.h"
#include "relay/targetstatus.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarblane
{

struct RelayAgentSettings {
    Peer self;
    /** The group that the target serves. */
    std::string group;
    Milliseconds reportInterval = Milliseconds(1000); ///< Of the target's status reports.
    /** Where peers may be reached that the store does not name yet. */
    std::vector<PeerAddress> seeds;
};

/**
 * The decisions of the process beside one target that returns packets of flows it does not hold. It takes or returns
 * new flows, knows the requests in flight, and tells the balancers. No sockets, threads or clock.
 */
class RelayAgent
{
public:
    /** `format` and `output` must outlive the agent. */
    RelayAgent(RelayAgentSettings settings, Timestamp now, const PacketFormat &format, RelayOutput &output);

    void onPeerMessage(Timestamp now, const PeerAddress &from, const wire::relay::Message &message);
    void onTargetPacket(Timestamp now, std::string_view packet);

    void onTargetReport(Timestamp now, const TargetReport &report);
    void onTargetLeft(Timestamp now, const std::string &target);

    /** Processes that the store names. */
    void onStorePeers(Timestamp now, const std::vector<Peer> &peers);

    /** At least every 50 ms. */
    void onTick(Timestamp now);

    /** The agent stops: it takes no new flow. */
    void beginLeave(Timestamp now);

    /** Tells the balancers that the process ends now. */
    void finishLeave(Timestamp now);

    /** True when a stop cuts off no request, or the longest wait for that is over. */
    bool mayExit(Timestamp now) const;

    TargetState state(Timestamp now) const;

    /** Whether the target has ended, also while the agent leaves. */
    bool isTargetGone(Timestamp now) const;

    const RelayAgentCounters &counters() const
    {
        return counters_;
    }
    const RequestMeter &meter() const
    {
        return flows_.meter();
    }
    /** Time from the last byte of a request to the first of its answer. */
    const LatencyHistogram &requestTimes() const
    {
        return flows_.requestTimes();
    }
    std::size_t openFlows() const
    {
        return flows_.size();
    }
    const PeerDirectory &peers() const
    {
        return peers_.directory();
    }

private:
    void handleForward(Timestamp now, const PeerAddress &from, const wire::relay::Forward &forward);
    void
    handleOpen(Timestamp now, const PeerAddress &from, const wire::relay::Forward &forward, const RelayPacket &head);
    /** Notes a flow of which the target has to show whether it holds it. */
    void probe(Timestamp now, const FlowTuple &tuple);
    void handleFlowQuery(Timestamp now, const PeerAddress &from, const wire::relay::FlowQuery &query);
    FlowPresence presenceOf(Timestamp now, const FlowTuple &tuple);
    void handleHello(Timestamp now, const PeerAddress &from, const wire::relay::Hello &hello);
    void handleReturned(Timestamp now, std::string packet, const RelayPacket &head);
    void handleAnswer(Timestamp now, std::string packet, const RelayPacket &head);
    void
    deliver(Timestamp now, const PeerAddress &from, std::string packet, const RelayPacket &head, std::uint32_t mode);
    /** A target that does not listen resets what reaches it. This says nothing about flows that others may hold. */
    bool isResetOfUnknownFlow(const RelayPacket &head);
    /** Forgets a flow whose target seems to have ended. */
    void discardEndedFlow(Timestamp now, const FlowTuple &tuple);
    void returnPacket(Timestamp now, const PeerAddress &to, ReturnReason reason, std::string packet);
    void answerFlow(Timestamp now, const PeerAddress &balancer, const FlowTuple &tuple, FlowPresence presence);
    void
    handleSearch(Timestamp now, const PeerAddress &from, const wire::relay::Forward &forward, const RelayPacket &head);
    wire::relay::Report makeReport(Timestamp now);
    void fillLoad(Timestamp now, wire::relay::Load &load);
    /** Whether the target has ended since the flow opened. */
    bool belongsToEndedTarget(Timestamp now, const AgentFlow &flow) const;
    /** Whether the target can hold a flow that the agent has no record of. */
    bool mayHoldUntrackedFlows(Timestamp now) const;
    std::uint32_t tagFor(const PeerAddress &balancer, std::uint32_t mode);

    RelayAgentSettings settings_;
    const PacketFormat &format_;
    RelayOutput &output_;
    AgentPeers peers_;
    TargetStatus target_;
    RelayAgentCounters counters_;
    TargetFlows flows_;
    GroupId group_;
    Timestamp nextSweep_;
    std::uint64_t loadSequence_ = 0;
    TargetState reportedState_ = TargetState::Unknown;
    /** From when on the target may hold flows that have no record; nothing if it holds none. */
    std::optional<Timestamp> uncertainSince_;
    std::optional<Timestamp> leaving_;
    std::vector<PeerAddress> taggedBalancers_;
};

} // namespace rhubarblane

#endif
