#ifndef RHUBARBLANE_AGENT_AGENTCORE_H
#define RHUBARBLANE_AGENT_AGENTCORE_H

#include "agent/agentaction.h"
#include "agent/agentcontext.h"
#include "agent/agentsettings.h"
#include "agent/decisionoutcomes.h"
#include "agent/flowcoordinator.h"
#include "agent/ownedflows.h"
#include "agent/registrations.h"
#include "agent/steadytime.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rhubarblane
{

/**
 * Makes the decisions for one target: which flows it owns, where the new flows are placed that it coordinates, and what
 * is refused. It has no sockets, threads or clock, and is deterministic: equal events yield equal actions.
 */
class AgentCore
{
public:
    explicit AgentCore(AgentSettings settings);
    AgentCore(const AgentCore &) = delete;
    AgentCore &operator=(const AgentCore &) = delete;

    /** Handles an authenticated message from another process. */
    void handleMessage(Timestamp now, const PeerAddress &from, const wire::Envelope &message);

    /** Handles an authenticated message without copying the packet in it. */
    void handleMessage(Timestamp now, const PeerAddress &from, wire::Envelope &&message);

    /** Handles an IP packet from the local target to the caller of the numbered flow. */
    void handleFromTarget(Timestamp now, const FlowTuple &flow, FlowNumber number, std::string packet);

    /** Handles the close or refusal of the numbered flow by the local target. */
    void handleTargetClosed(Timestamp now, const FlowTuple &flow, FlowNumber number);

    /** Runs all timers; called every 10 to 100 ms. */
    void tick(Timestamp now);

    /**
     * Stops accepting flows. Open flows continue until they end or the deadline passes; at the deadline they are ended
     * and their callers are notified.
     */
    void beginDrain(Timestamp now, Timestamp deadline);

    bool isDraining() const
    {
        return drainDeadline_.has_value();
    }

    /** Returns true when the drain is complete and the group has been notified, so that the process may stop. */
    bool isDrained(Timestamp now) const
    {
        return self().left();
    }

    /** Returns the actions since the last call, in order. */
    std::vector<AgentAction> takeActions();

    const AgentCounters &counters() const
    {
        return context_.counters;
    }
    const GroupRoster &roster() const
    {
        return context_.group.roster();
    }
    const FlowTable &flows() const
    {
        return context_.flows;
    }
    const wire::TargetEntry &self() const
    {
        return context_.group.self();
    }
    std::optional<wire::ServiceSettings> service() const
    {
        return context_.service;
    }
    /** Returns the number of flow decisions that this agent keeps as a home. */
    std::size_t decisions() const
    {
        return outcomes_.table().size();
    }

private:
    Timestamp advance(Timestamp now);
    void dispatch(Timestamp now, const PeerAddress &from, wire::Envelope &&message);
    void handle(Timestamp now, wire::Forward &&message);
    void handle(Timestamp now, const wire::Query &message);
    void handle(Timestamp now, const wire::RegisterAck &message);
    void handle(Timestamp now, const PeerAddress &from, const wire::Heartbeat &message);
    void handle(Timestamp now, const wire::AnnounceAck &message);
    bool matchesService(std::uint64_t service);
    void finishEvent(Timestamp now);
    void synchronize(Timestamp now);
    void runDrain(Timestamp now);
    void runColdStart(Timestamp now);
    void announce(Timestamp now);
    wire::Load load() const;

    AgentContext context_;
    DecisionOutcomes outcomes_;
    FlowCoordinator coordinator_;
    OwnedFlows owned_;
    Registrations registrations_;
    SteadyTime time_;
    Timestamp now_;
    Timestamp nextAnnounce_;
    Timestamp nextExpiry_;
    std::uint64_t configurationRevision_ = 0;
    std::uint64_t collectedVersion_ = 0;
    std::uint64_t collectedRejoins_ = 0;
    wire::MemberState announcedState_ = wire::JOINING;
    std::optional<Timestamp> servingSince_;
    std::optional<Timestamp> drainStart_;
    std::optional<Timestamp> drainDeadline_;
};

} // namespace rhubarblane

#endif
