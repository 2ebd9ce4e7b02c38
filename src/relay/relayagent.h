#ifndef RHUBARBLANE_RELAY_RELAYAGENT_H
#define RHUBARBLANE_RELAY_RELAYAGENT_H

#include "base/clock.h"
#include "base/latencyhistogram.h"
#include "relay/agentflow.h"
#include "relay/packetformat.h"
#include "relay/peerbook.h"
#include "relay/relayoutput.h"
#include "relay/requestmeter.h"
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

struct RelayAgentCounters {
    std::uint64_t packetsIn = 0; ///< Packets of callers for the target.
    std::uint64_t packetsOut = 0; ///< Packets of the target for callers.
    std::uint64_t malformed = 0;
    std::uint64_t flowsOpened = 0;
    std::uint64_t returnedBusy = 0;
    std::uint64_t returnedFull = 0;
    std::uint64_t returnedNotReady = 0;
    std::uint64_t returnedNotHeld = 0;
    std::uint64_t returnedWrongGroup = 0;
    std::uint64_t searchesDelivered = 0;
    std::uint64_t searchesAbsent = 0;
    std::uint64_t resetsDropped = 0; ///< Resets of the target for flows that it does not hold.
    std::uint64_t requestsFinished = 0;
    std::uint64_t requestsAbandoned = 0;
    std::uint64_t reportsOutdated = 0;
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
    void onPeersNamed(Timestamp now, const std::vector<Peer> &peers);

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
        return meter_;
    }
    /** Time from the last byte of a request to the first of its answer. */
    const LatencyHistogram &requestTimes() const
    {
        return requestTimes_;
    }
    const PeerBook &peers() const
    {
        return peers_;
    }
    std::size_t openFlows() const
    {
        return flows_.size();
    }

private:
    void handleForward(Timestamp now, const PeerAddress &from, const wire::relay::Forward &forward);
    void openHere(Timestamp now, const PeerAddress &from, const wire::relay::Forward &forward, const RelayPacket &head);
    /** Notes a flow of which the target has to show whether it holds it. */
    void probe(Timestamp now, const FlowTuple &tuple);
    void handleFlowQuery(Timestamp now, const PeerAddress &from, const wire::relay::FlowQuery &query);
    FlowPresence presenceOf(Timestamp now, const FlowTuple &tuple);
    void handleHello(Timestamp now, const PeerAddress &from, const wire::relay::Hello &hello);
    void handleReturned(Timestamp now, std::string packet, const RelayPacket &head);
    void handleAnswer(Timestamp now, std::string packet, const RelayPacket &head);
    void
    deliver(Timestamp now, const PeerAddress &from, std::string packet, const RelayPacket &head, std::uint32_t mode);
    void noteCallerPacket(Timestamp now, AgentFlow &flow, const RelayPacket &head);
    void endRequest(Timestamp now, AgentFlow &flow, bool answered);
    void forget(Timestamp now, const FlowTuple &tuple);
    /** Forgets a flow whose target seems to have ended. */
    void giveUp(Timestamp now, const FlowTuple &tuple);
    void returnPacket(Timestamp now, const PeerAddress &to, ReturnReason reason, std::string packet);
    void answerFlow(Timestamp now, const PeerAddress &balancer, const FlowTuple &tuple, FlowPresence presence);
    void
    handleSearch(Timestamp now, const PeerAddress &from, const wire::relay::Forward &forward, const RelayPacket &head);
    void sweepFlows(Timestamp now);
    void sendReports(Timestamp now);
    void fillLoad(Timestamp now, wire::relay::Load &load);
    std::uint32_t openingFlows(Timestamp now);
    /** Whether the target has ended since the flow opened. */
    bool isOfEndedTarget(Timestamp now, const AgentFlow &flow) const;
    /** Whether the target can hold a flow that the agent has no record of. */
    bool mayHoldUnknownFlows(Timestamp now) const;
    std::uint32_t tagFor(const PeerAddress &balancer, std::uint32_t mode);

    RelayAgentSettings settings_;
    const PacketFormat &format_;
    RelayOutput &output_;
    PeerBook peers_;
    TargetStatus target_;
    RequestMeter meter_;
    RecentFlows<AgentFlow> flows_;
    RelayAgentCounters counters_;
    LatencyHistogram requestTimes_;
    GroupId group_;
    Timestamp nextReport_;
    Timestamp nextSeedContact_;
    Timestamp nextSweep_;
    std::uint64_t loadSequence_ = 0;
    TargetState reportedState_ = TargetState::Unknown;
    /** From when on the target may hold flows that have no record; nothing if it holds none. */
    std::optional<Timestamp> uncertainSince_;
    std::optional<Timestamp> leaving_;
    std::vector<PeerAddress> taggedBalancers_;
    std::vector<std::pair<FlowTuple, Timestamp>> opening_;
};

} // namespace rhubarblane

#endif
