#ifndef RHUBARBLANE_AGENT_DECISIONOUTCOMES_H
#define RHUBARBLANE_AGENT_DECISIONOUTCOMES_H

#include "agent/admissionlimits.h"
#include "agent/agentcontext.h"
#include "agent/decisiontable.h"
#include "agent/registrations.h"

namespace rhubarblane
{

/** Ends undecided flows in one of the outcomes, and exchanges outcomes with other members. */
class DecisionOutcomes
{
public:
    explicit DecisionOutcomes(AgentContext &context);

    /** The owner is known: the waiting packets go to it. */
    void settlePlaced(Timestamp now, Decision &decision, const MemberKey &owner, std::uint64_t number);
    /** The flow did not run: its caller is told so. */
    void settleRefused(Timestamp now, Decision &decision);
    /** The flow may have run: its caller is told so. */
    void settleLost(Timestamp now, Decision &decision);
    /** Tells the caller once that the flow may have run, and gives the waiting packets up. */
    void reportUnknown(Decision &decision);
    /** Gives an undecided flow up without a trace. */
    void drop(Decision &decision);
    /** Sends the waiting packets to another home and gives the flow up. */
    void forwardToHome(Decision &decision, TargetId home);

    /** Answers a packet of a refused or lost flow. Returns false if it opens a new flow. */
    bool answerFinal(Decision &decision, const wire::Forward &message);

    /** Takes over a fact of another member. Returns false if it contradicts what this agent knows. */
    bool applyFact(Timestamp now, const wire::Registration &fact);

    /** What this agent knows of a flow, apart from flows that it owns. Returns false if nothing. */
    bool describe(Timestamp now, const FlowTuple &flow, std::uint64_t fingerprint, wire::QueryAnswer &answer);

    /** Queues the outcomes whose home is another member now, and gives up flows of dead owners. */
    void collect(Timestamp now, Registrations &registrations);

    /** Queues the outcomes of flows whose home became another member while they were being placed. */
    void collectRecent(Timestamp now, Registrations &registrations);

    /** A home has acknowledged the fact. */
    void markRegistered(const wire::Registration &fact, const MemberKey &home);

    /** Forgets what is too old or known better elsewhere. */
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
