#ifndef RHUBARBLANE_AGENT_FLOWCOORDINATOR_H
#define RHUBARBLANE_AGENT_FLOWCOORDINATOR_H

#include "agent/agentcontext.h"
#include "agent/decisionoutcomes.h"

namespace rhubarblane
{

/**
 * Coordinates the flows whose home is this agent: finds the owner of each, or places the flow, and records the
 * decision.
 */
class FlowCoordinator
{
public:
    FlowCoordinator(AgentContext &context, DecisionOutcomes &outcomes);

    /** Handles a packet of a flow that this agent does not own. */
    void handle(Timestamp now, const FlowTuple &flow, wire::Forward &&message);
    void handle(Timestamp now, const wire::PlaceResult &message);
    void handle(Timestamp now, const wire::FlowEnd &message);
    void handle(Timestamp now, const wire::QueryAnswer &message);
    /** Applies the facts of another member and acknowledges them. */
    void handle(Timestamp now, const wire::Register &message);

    /** Returns true while flows are being placed whose home has changed to another member. */
    bool decidesForeignFlows();

    /** Runs retries, timeouts and expiry. */
    void tick(Timestamp now);

private:
    void enqueue(Decision &decision, wire::Forward &&message);
    void evaluate(Timestamp now, Decision &decision);
    void query(Timestamp now, Decision &decision, const std::vector<TargetId> &members);
    void place(Timestamp now, Decision &decision);
    void cancel(Timestamp now, Decision &decision);

    AgentContext &context_;
    DecisionOutcomes &outcomes_;
    DecisionTable &decisions_;
    std::uint64_t nextAttempt_;
};

} // namespace rhubarblane

#endif
