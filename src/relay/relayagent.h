#ifndef RHUBARBLANE_RELAY_RELAYAGENT_H
#define RHUBARBLANE_RELAY_RELAYAGENT_H

#include "base/clock.h"
#include "relay/agentpeers.h"
#include "relay/coldstartlimiter.h"
#include "relay/ownzone.h"
#include "relay/packetformat.h"
#include "relay/relayagentcounters.h"
#include "relay/relayoutput.h"
#include "relay/requestgate.h"
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
    Milliseconds reportInterval = Milliseconds(1000); ///< Interval of the target's status reports.
    /** Addresses of balancers to contact while the store does not list them. */
    std::vector<PeerAddress> seeds;
};

/**
 * The logic of the agent process, which runs on the VM of one target; the target returns packets of flows that it does
 * not hold. The agent accepts or returns new flows, tracks the requests in flight and reports the target's load to the
 * balancers. The class uses no sockets, threads or clock.
 */
class RelayAgent
{
public:
    /** `format` and `output` must outlive the agent. */
    RelayAgent(RelayAgentSettings settings, Timestamp now, const PacketFormat &format, RelayOutput &output);

    void onPeerMessage(Timestamp now, const PeerAddress &from, const wire::relay::Message &message);
    void onTargetPacket(Timestamp now, std::string_view packet);

    /** Returns false if the report is not acknowledged, because the next one decides whether it is valid. */
    bool onTargetReport(Timestamp now, const TargetReport &report);
    void onTargetLeft(Timestamp now, const std::string &target);

    /** Adds the processes that the store lists. */
    void onStorePeers(Timestamp now, const std::vector<Peer> &peers);

    /** Must be called at least every 50 ms. */
    void onTick(Timestamp now);

    /** Begins a graceful shutdown: the agent accepts no new flows. */
    void beginLeave(Timestamp now);

    /** Notifies the balancers that the process exits. */
    void finishLeave(Timestamp now);

    /**
     * Returns true if the shutdown interrupts no request in flight and it is known whether a target that announced its
     * end has ended, or the maximum wait for that is over.
     */
    bool mayExit(Timestamp now) const;

    TargetState state(Timestamp now) const;

    /** Returns true if the target has ended; also valid while the agent shuts down, unlike state(). */
    bool isTargetGone(Timestamp now) const;

    const RelayAgentCounters &counters() const
    {
        return counters_;
    }
    const RequestMeter &meter() const
    {
        return flows_.meter();
    }
    /** Returns the times from the last byte of a request to the first byte of its answer. */
    const LatencyHistogram &requestTimes() const
    {
        return flows_.requestTimes();
    }
    const ColdStartLimiter &coldStart() const
    {
        return coldStart_;
    }
    std::size_t openFlows() const
    {
        return flows_.size();
    }
    const OwnZone &zone() const
    {
        return zone_;
    }
    const PeerDirectory &peers() const
    {
        return peers_.directory();
    }
    const RequestGate &gate() const
    {
        return gate_;
    }

private:
    void handleForward(Timestamp now, const PeerAddress &from, const wire::relay::Forward &forward);
    void handleOpen(Timestamp now,
                    const PeerAddress &balancer,
                    const wire::relay::Forward &forward,
                    const RelayPacket &head);
    /** Hands the opening packet of a flow without room on to the next candidate; the last one returns it. */
    void decline(Timestamp now,
                 const PeerAddress &balancer,
                 const wire::relay::Forward &forward,
                 ReturnReason reason,
                 std::uint64_t &returned);
    /** Returns true if a less urgent request must wait for its turn; the packet is kept or dropped. */
    bool
    holdPacket(Timestamp now, const PeerAddress &from, const wire::relay::Forward &forward, const RelayPacket &head);
    TargetRoom room(Timestamp now);
    /** Lets held requests begin for which the target has room. */
    void startHeld(Timestamp now);
    /** Passes held requests on out of turn: of one flow, or all. */
    void passHeldOf(Timestamp now, const FlowTuple &tuple, std::string_view reason);
    void passAllHeld(Timestamp now, std::string_view reason);
    void passHeld(Timestamp now, const HeldRequest &held);
    /** Drops the held request of a flow that its caller no longer uses. */
    void dropHeldOf(Timestamp now, const FlowTuple &tuple, std::string_view reason);
    void dropHeld(Timestamp now, const std::vector<HeldRequest> &dropped, std::string_view reason);
    /** Drops held requests whose time is over, and lets others begin. */
    void serveHeld(Timestamp now);
    /** Creates a record for a flow of which the target's next answer shows whether the target holds it. */
    void probe(Timestamp now, const FlowTuple &tuple);
    void handleFlowQuery(Timestamp now, const PeerAddress &from, const wire::relay::FlowQuery &query);
    void handleFlowListRequest(Timestamp now, const PeerAddress &from, const wire::relay::FlowListRequest &request);
    FlowPresence presenceOf(Timestamp now, const FlowTuple &tuple);
    /** Returns true if no report of this start of the target has been answered before, also by an earlier agent. */
    bool isFirstReport(Timestamp now, const TargetReport &report) const;
    void handleHello(Timestamp now, const PeerAddress &from, const wire::relay::Hello &hello);
    void handleReturned(Timestamp now, std::string packet, const RelayPacket &head);
    void handleAnswer(Timestamp now, std::string packet, const RelayPacket &head);
    void
    deliver(Timestamp now, const PeerAddress &from, std::string packet, const RelayPacket &head, std::uint32_t mode);
    /**
     * Returns true for a reset of a flow that the target is not known to hold. The VM of a target that does not listen
     * resets every packet, although another target may hold the flow.
     */
    bool isResetOfUnknownFlow(const RelayPacket &head);
    /** Drops the record of a flow whose target is assumed to have ended. */
    void discardEndedFlow(Timestamp now, const FlowTuple &tuple);
    void returnPacket(Timestamp now, const PeerAddress &to, ReturnReason reason, std::string packet);
    void answerFlow(Timestamp now, const PeerAddress &balancer, const FlowTuple &tuple, FlowPresence presence);
    void
    handleSearch(Timestamp now, const PeerAddress &from, const wire::relay::Forward &forward, const RelayPacket &head);
    wire::relay::Report makeReport(Timestamp now);
    void fillLoad(Timestamp now, wire::relay::Load &load);
    /** Applies what a report says about the lower capacity after a start of the target. */
    void noteColdness(Timestamp now, const TargetReport &report);
    void logColdness(Timestamp now);
    /** Returns true if the target may hold a flow that the agent has no record of. */
    bool mayHoldUntrackedFlows(Timestamp now) const;
    std::uint32_t tagFor(const PeerAddress &balancer, std::uint32_t mode);

    RelayAgentSettings settings_;
    Timestamp started_;
    const PacketFormat &format_;
    RelayOutput &output_;
    AgentPeers peers_;
    OwnZone zone_;
    TargetStatus target_;
    RelayAgentCounters counters_;
    TargetFlows flows_;
    RequestGate gate_;
    GroupId group_;
    /** Identifies the flow lists of this incarnation of the agent. */
    std::uint64_t listId_;
    Timestamp nextSweep_;
    std::uint64_t loadSequence_ = 0;
    TargetState reportedState_ = TargetState::Unknown;
    ColdStartLimiter coldStart_;
    bool loggedCold_ = false;
    bool loggedUnknownColdness_ = false;
    /** Time since which the target may hold flows without a record; no value if it holds none. */
    std::optional<Timestamp> uncertainSince_;
    std::optional<Timestamp> leaving_;
    std::vector<PeerAddress> taggedBalancers_;
};

} // namespace rhubarblane

#endif
