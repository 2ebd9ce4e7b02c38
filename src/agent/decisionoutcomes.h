#ifndef RHUBARBLANE_AGENT_DECISIONOUTCOMES_H
#define RHUBARBLANE_AGENT_DECISIONOUTCOMES_H

#include "agent/admissionlimits.h"
#include "agent/agentcontext.h"
#include "agent/decisiontable.h"
#include "agent/registrations.h"

namespace rhubarblane
{

/** Concludes undecided flows as placed, refused or lost, and exchanges the outcomes with other members. */
class DecisionOutcomes
{
public:
    explicit DecisionOutcomes(AgentContext &context);

    /** Records the owner and forwards the queued packets to it. */
    void settlePlaced(Timestamp now, Decision &decision, const MemberKey &owner, std::uint64_t number);
    /** Records that the flow did not run, and notifies the caller. */
    void settleRefused(Timestamp now, Decision &decision);
    /** Records that the flow may have run, and notifies the caller. */
    void settleLost(Timestamp now, Decision &decision);
    /** Notifies the caller, once, that the flow may have run, and discards the queued packets. */
    void reportUnknown(Decision &decision);
    /** Removes a decision without recording an outcome. */
    void drop(Decision &decision);
    /** Forwards the queued packets to another home and removes the decision. */
    void forwardToHome(Decision &decision, TargetId home);

    /** Answers a packet of a refused or lost flow. Returns false if the packet opens a new flow. */
    bool answerFinal(Decision &decision, const wire::Forward &message);

    /** Applies a fact from another member. Returns false if it contradicts the state of this agent. */
    bool applyFact(Timestamp now, const wire::Registration &fact);

    /** Fills in what this agent knows of a flow that it does not own. Returns false if it has no record of the flow. */
    bool describe(Timestamp now, const FlowTuple &flow, std::uint64_t fingerprint, wire::QueryAnswer &answer);

    /** Queues the outcomes whose home is another member now, and marks flows of dead owners as lost. */
    void collect(Timestamp now, Registrations &registrations);

    /** Queues the outcomes of flows whose home changed to another member while they were being placed. */
    void collectRecent(Timestamp now, Registrations &registrations);

    /** Records that a home has acknowledged the fact. */
    void markRegistered(const wire::Registration &fact, const MemberKey &home);

    /** Removes outcomes whose retention has passed, and decisions that are kept at another home now. */
    void tick(Timestamp now);

    DecisionTable &table()
    {
        return table_;
    }
    const DecisionTable &table() const
    {
        return table_;
    }
    AdmissionLimits &limits()
    {
        return limits_;
    }

private:
    void settle(Timestamp now, Decision &decision, Decision::State state);
    bool applyOwnerFact(Timestamp now, const FlowTuple &flow, const wire::Registration &fact);
    void dropForeignDecisions();
    wire::Registration factOf(Timestamp now, const Decision &decision) const;

    AgentContext &context_;
    DecisionTable table_;
    AdmissionLimits limits_;
    std::vector<FlowTuple> settledElsewhere_;
    std::uint64_t cleanupDigest_ = 0;
    Timestamp nextCleanup_;
};

} // namespace rhubarblane

#endif
