#ifndef RHUBARBLANE_AGENT_OWNEDFLOWS_H
#define RHUBARBLANE_AGENT_OWNEDFLOWS_H

#include "agent/admissionlimits.h"
#include "agent/agentcontext.h"
#include "agent/packetsummary.h"
#include "agent/placementlog.h"
#include "agent/registrations.h"
#include "agent/silencemonitor.h"

namespace rhubarblane
{

/** Manages the flows that the local target owns: accepts them, delivers their packets and ends them. */
class OwnedFlows
{
public:
    explicit OwnedFlows(AgentContext &context);

    /** Handles a placement request for a new flow, as one of its candidates. */
    void handle(Timestamp now, wire::Place &&message);

    /** Delivers a packet of an open flow. */
    void deliver(Timestamp now, FlowRecord &record, std::string &&packet);

    void handleFromTarget(Timestamp now, FlowRecord &record, std::string &&packet);

    /**
     * Fills in the answer to a home's query about a flow. Returns false if this agent neither owns the flow nor owned
     * it recently.
     */
    bool describe(const FlowTuple &flow, std::uint64_t fingerprint, wire::QueryAnswer &answer);

    /** Rejects Place messages of this home up to this attempt from now on. */
    void cancel(Timestamp now, const FlowTuple &flow, const MemberKey &home, std::uint64_t attempt);

    /** Ends a flow. `notifyCaller` sends the caller an error, for an end that the flow's own packets do not show. */
    void end(Timestamp now, FlowRecord &record, bool notifyCaller);

    /** Notifies the home that this agent does not own a flow. */
    void denyOwnership(const FlowTuple &flow);

    /** Ends all flows and notifies their callers. */
    void endAll(Timestamp now);

    /**
     * Queues registrations of the flows that their current homes have not acknowledged; of all flows if `reregister`.
     */
    void collect(Timestamp now, Registrations &registrations, bool reregister);

    void markRegistered(const wire::Registration &fact, const MemberKey &home);

    /** Queues registrations of the flows that ended since the last call. */
    void collectRecent(Timestamp now, Registrations &registrations);

    void configure(const wire::ServiceSettings &service);

    void tick(Timestamp now);

private:
    void accept(Timestamp now, const FlowTuple &flow, wire::Place &message);
    void forwardPlace(Timestamp now, wire::Place &&message);
    void sendResult(const wire::Place &place, bool accepted, std::uint64_t number);
    void sendEnd(const FlowTuple &flow, TargetId home, std::uint64_t number);
    void setActive(Timestamp now, FlowRecord &record, bool active);
    void markEstablished(FlowRecord &record);
    /** Records a UDP request. Returns true if it is a duplicate of an earlier one. */
    bool isDuplicate(Timestamp now, FlowRecord &record, const std::string &packet) const;
    void trackClosing(Timestamp now, FlowRecord &record);
    wire::Registration factOf(const FlowTuple &flow, std::uint64_t number, std::uint64_t fingerprint) const;

    AgentContext &context_;
    PlacementLog placementLog_;
    SilenceMonitor silence_;
    AdmissionLimits halfOpen_;
    /** Maximum number of queued requests, scaled by the priority of the service. */
    std::uint32_t queueLimit_;
    /** Tuple and fingerprint of the flows that ended since the last collection. */
    std::vector<std::pair<FlowTuple, std::uint64_t>> recentlyEnded_;
    /** Flows that both sides have closed, in the order in which they were closed. */
    std::deque<std::pair<Timestamp, std::pair<FlowTuple, FlowNumber>>> closing_;
};

} // namespace rhubarblane

#endif
