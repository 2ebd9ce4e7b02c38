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

/** The owner's part: accepts flows for the local target, delivers their packets and ends them. */
class OwnedFlows
{
public:
    explicit OwnedFlows(AgentContext &context);

    /** Handles a new flow as a candidate of its home. */
    void handle(Timestamp now, wire::Place &&message);

    /** Delivers a packet of an open flow. */
    void deliver(Timestamp now, FlowRecord &record, std::string &&packet);

    void handleFromTarget(Timestamp now, FlowRecord &record, std::string &&packet);

    /** Answers a home that asks about a flow. Returns false if this agent is not its owner and never was lately. */
    bool describe(const FlowTuple &flow, std::uint64_t fingerprint, wire::QueryAnswer &answer);

    /** From now on a Place of this home up to this attempt is not accepted. */
    void cancel(Timestamp now, const FlowTuple &flow, const MemberKey &home, std::uint64_t attempt);

    /** Ends a flow; `notifyCaller` if the caller cannot know it from the flow itself. */
    void end(Timestamp now, FlowRecord &record, bool notifyCaller);

    /** Tells the home that this agent does not own a flow. */
    void denyOwnership(const FlowTuple &flow);

    /** Ends all flows and tells their callers. */
    void endAll(Timestamp now);

    /** Queues the flows that their present homes do not know. */
    void collect(Timestamp now, Registrations &registrations, bool reregister);

    void markRegistered(const wire::Registration &fact, const MemberKey &home);

    /** Queues flows that ended lately. */
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
    /** Notes a UDP request. Returns true if it is a copy of an earlier one. */
    bool isDuplicate(Timestamp now, FlowRecord &record, const std::string &packet) const;
    void trackClosing(Timestamp now, FlowRecord &record);
    wire::Registration factOf(const FlowTuple &flow, std::uint64_t number, std::uint64_t fingerprint) const;

    AgentContext &context_;
    PlacementLog placementLog_;
    SilenceMonitor silence_;
    AdmissionLimits halfOpen_;
    /** Requests that may wait, by the priority of the service. */
    std::uint32_t queueLimit_;
    /** Flow and fingerprint of flows that ended since the last collection. */
    std::vector<std::pair<FlowTuple, std::uint64_t>> recentlyEnded_;
    /** Flows that both sides have closed, in the order in which they were. */
    std::deque<std::pair<Timestamp, std::pair<FlowTuple, FlowNumber>>> closing_;
};

} // namespace rhubarblane

#endif
