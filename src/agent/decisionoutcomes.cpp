#include "agent/decisionoutcomes.h"

#include "agent/packetsummary.h"

#include <algorithm>
#include <utility>

namespace rhubarblane
{

namespace
{

// Longer than the packet lifetime, so that late duplicates of a refused opening packet are refused as well.
constexpr Milliseconds RefusalRetention(60000);
// Without at-most-once, running a request twice is harmless, so a caller may soon reuse its port.
constexpr Milliseconds LostRetention(1000);
constexpr Milliseconds CleanupInterval(1000);

wire::Registration
ownerFact(const FlowTuple &flow, const MemberKey &owner, std::uint64_t number, std::uint64_t fingerprint)
{
    wire::Registration fact;
    *fact.mutable_flow() = toWire(flow);
    fact.set_owner(owner.target.value());
    fact.set_owner_incarnation(owner.incarnation);
    fact.set_flow_number(number);
    fact.set_fingerprint(fingerprint);
    return fact;
}

} // namespace

DecisionOutcomes::DecisionOutcomes(AgentContext &context)
    : context_(context)
{
}

void DecisionOutcomes::settle(Timestamp now, Decision &decision, Decision::State state)
{
    if (decision.isUndecided()) {
        limits_.close(decision.flow.callerAddress);
    }
    table_.setState(now, decision, state);
    if (context_.group.homeOf(flowHashOf(decision.flow)) != context_.id()) {
        settledElsewhere_.push_back(decision.flow);
    }
}

void DecisionOutcomes::settlePlaced(Timestamp now, Decision &decision, const MemberKey &owner, std::uint64_t number)
{
    // The Place message carried the opening packet of a flow that was being placed.
    const bool isOpeningDelivered = decision.state != Decision::State::Waiting;
    std::vector<wire::Forward> queued = table_.takeQueued(decision);
    decision.owner = owner;
    decision.number = number;
    settle(now, decision, Decision::State::Placed);
    for (std::size_t i = 0; i < queued.size(); ++i) {
        // Balancers are notified of the owner from the second packet of a flow on, because most requests have only one
        // packet.
        if (i > 0) {
            context_.notifyOwner(queued[i], owner);
        }
        if (i > 0 || !isOpeningDelivered) {
            context_.forwardTo(std::move(queued[i]), owner.target, true);
        }
    }
}

void DecisionOutcomes::settleRefused(Timestamp now, Decision &decision)
{
    for (const wire::Forward &message : table_.takeQueued(decision)) {
        context_.refuse(message.packet(), Refusal::NotRun);
    }
    settle(now, decision, Decision::State::Refused);
}

void DecisionOutcomes::settleLost(Timestamp now, Decision &decision)
{
    reportUnknown(decision);
    settle(now, decision, Decision::State::Lost);
}

void DecisionOutcomes::reportUnknown(Decision &decision)
{
    const std::vector<wire::Forward> queued = table_.takeQueued(decision);
    if (!decision.callerNotified && !queued.empty()) {
        context_.refuse(queued.front().packet(), Refusal::Unknown);
        decision.callerNotified = true;
    }
}

void DecisionOutcomes::drop(Decision &decision)
{
    if (decision.isUndecided()) {
        limits_.close(decision.flow.callerAddress);
    }
    table_.erase(decision);
}

void DecisionOutcomes::forwardToHome(Decision &decision, TargetId home)
{
    for (wire::Forward &message : table_.takeQueued(decision)) {
        context_.forwardTo(std::move(message), home, false);
    }
    drop(decision);
}

bool DecisionOutcomes::answerFinal(Decision &decision, const wire::Forward &message)
{
    const bool isNewFlow = message.opening() && decision.flow.protocol == Protocol::Tcp
        && fingerprintOf(decision.flow.protocol, message.packet()) != decision.fingerprint;
    if (isNewFlow) {
        return false;
    }
    const bool isRefused = decision.state == Decision::State::Refused;
    decision.callerNotified = decision.callerNotified || !isRefused;
    context_.refuse(message.packet(), isRefused ? Refusal::NotRun : Refusal::Unknown);
    return true;
}

bool DecisionOutcomes::applyFact(Timestamp now, const wire::Registration &fact)
{
    const FlowTuple flow = fromWire(fact.flow());
    const MemberKey owner {TargetId(fact.owner()), fact.owner_incarnation()};
    Decision *decision = table_.find(flow);
    if (fact.ended()) {
        context_.ended.add(now, EndedFlow {flow, fact.fingerprint(), owner, fact.flow_number(), now, std::nullopt});
        if (decision == nullptr) {
            return true;
        }
        const bool isPlaced = decision->state == Decision::State::Placed && decision->owner == owner
            && decision->number <= fact.flow_number();
        const bool isAwaited =
            decision->state == Decision::State::Waiting && decision->fingerprint == fact.fingerprint();
        if (isPlaced || isAwaited) {
            drop(*decision);
        }
        return true;
    }
    if (!fact.refused() && !fact.lost()) {
        return applyOwnerFact(now, flow, fact);
    }
    if (decision == nullptr) {
        decision = &table_.insert(now, flow);
        decision->opening = true;
        decision->fingerprint = fact.fingerprint();
        decision->callerNotified = fact.lost();
        table_.setState(now, *decision, fact.refused() ? Decision::State::Refused : Decision::State::Lost);
        return true;
    }
    if (decision->state == Decision::State::Waiting) {
        decision->fingerprint = fact.fingerprint();
        if (fact.refused()) {
            settleRefused(now, *decision);
        } else {
            settleLost(now, *decision);
        }
    }
    return true;
}

bool DecisionOutcomes::applyOwnerFact(Timestamp now, const FlowTuple &flow, const wire::Registration &fact)
{
    const MemberKey owner {TargetId(fact.owner()), fact.owner_incarnation()};
    const bool isLive = context_.group.isLive(owner.target, owner.incarnation);
    const EndedFlow *ended = context_.ended.find(flow, fact.fingerprint());
    if (owner == context_.selfKey() || (ended != nullptr && ended->owner == owner)) {
        return true;
    }
    if (context_.flows.find(flow) != nullptr) {
        return false;
    }
    Decision *decision = table_.find(flow);
    if (decision == nullptr) {
        if (isLive) {
            decision = &table_.insert(now, flow);
            decision->opening = true;
            decision->fingerprint = fact.fingerprint();
            decision->owner = owner;
            decision->number = fact.flow_number();
            table_.setState(now, *decision, Decision::State::Placed);
        }
        return true;
    }
    switch (decision->state) {
    case Decision::State::Waiting:
        decision->fingerprint = fact.fingerprint();
        if (isLive) {
            settlePlaced(now, *decision, owner, fact.flow_number());
        } else {
            settleLost(now, *decision);
        }
        return true;
    case Decision::State::Placing:
    case Decision::State::Cancelling:
        if (!isLive || decision->fingerprint != fact.fingerprint()) {
            return false;
        }
        settlePlaced(now, *decision, owner, fact.flow_number());
        return true;
    case Decision::State::Placed:
        if (decision->owner == owner) {
            decision->number = std::max(decision->number, fact.flow_number());
            return true;
        }
        return false;
    default:
        // The flow is refused or lost here, and its caller is answered accordingly, so the owner has to end it.
        return false;
    }
}

bool DecisionOutcomes::describe(Timestamp now,
                                const FlowTuple &flow,
                                std::uint64_t fingerprint,
                                wire::QueryAnswer &answer)
{
    if (const EndedFlow *ended = context_.ended.find(flow, fingerprint)) {
        *answer.mutable_fact() = ownerFact(flow, ended->owner, ended->number, fingerprint);
        answer.mutable_fact()->set_ended(true);
        answer.set_known(true);
        return true;
    }
    const Decision *decision = table_.find(flow);
    if (decision == nullptr || decision->state == Decision::State::Waiting) {
        return false;
    }
    answer.set_known(true);
    answer.set_pending(decision->isUndecided());
    *answer.mutable_fact() = factOf(now, *decision);
    return true;
}

void DecisionOutcomes::collectRecent(Timestamp now, Registrations &registrations)
{
    for (const FlowTuple &flow : settledElsewhere_) {
        const Decision *decision = table_.find(flow);
        const std::optional<TargetId> home = context_.group.homeOf(flowHashOf(flow));
        const std::optional<MemberKey> key = home ? context_.memberKey(*home) : std::nullopt;
        if (decision != nullptr && !decision->isUndecided() && key && *key != context_.selfKey()) {
            registrations.add(*key, factOf(now, *decision));
        }
    }
    settledElsewhere_.clear();
}

void DecisionOutcomes::collect(Timestamp now, Registrations &registrations)
{
    for (auto position = table_.placed().begin(); position != table_.placed().end();) {
        Decision &decision = *position++;
        if (!context_.group.isLive(decision.owner.target, decision.owner.incarnation)) {
            table_.setState(now, decision, Decision::State::Lost);
        }
    }
    for (const Decision &decision : table_.finals()) {
        const std::optional<TargetId> home = context_.group.homeOf(flowHashOf(decision.flow));
        const std::optional<MemberKey> key = home ? context_.memberKey(*home) : std::nullopt;
        if (key && *key != context_.selfKey() && decision.registeredHome != key) {
            registrations.add(*key, factOf(now, decision));
        }
    }
}

void DecisionOutcomes::markRegistered(const wire::Registration &fact, const MemberKey &home)
{
    Decision *decision = table_.find(fromWire(fact.flow()));
    if (decision != nullptr && decision->isFinal()) {
        decision->registeredHome = home;
    }
}

void DecisionOutcomes::tick(Timestamp now)
{
    if (now < nextCleanup_) {
        return;
    }
    nextCleanup_ = now + CleanupInterval;
    const Milliseconds lostRetention = context_.isAtMostOnce() ? MajorityLease + PacketLifetime : LostRetention;
    for (auto position = table_.finals().begin(); position != table_.finals().end();) {
        Decision &decision = *position++;
        const Milliseconds retention = decision.state == Decision::State::Refused ? RefusalRetention : lostRetention;
        if (now - decision.changed >= retention) {
            table_.erase(decision);
        }
    }
    dropForeignDecisions();
}

void DecisionOutcomes::dropForeignDecisions()
{
    // Once all owners have registered by a roster that assigns a flow to another home, the old decision here is stale:
    // the owner would not notify this agent of the flow's end.
    const std::uint64_t digest = context_.group.roster().digest();
    if (digest == cleanupDigest_ || context_.group.hasSuspectedMembers()
        || !context_.group.unregisteredMembers().empty()) {
        return;
    }
    cleanupDigest_ = digest;
    for (auto position = table_.placed().begin(); position != table_.placed().end();) {
        Decision &decision = *position++;
        if (context_.group.homeOf(flowHashOf(decision.flow)) != context_.id()) {
            table_.erase(decision);
        }
    }
}

wire::Registration DecisionOutcomes::factOf(Timestamp now, const Decision &decision) const
{
    wire::Registration fact = ownerFact(decision.flow, decision.owner, decision.number, decision.fingerprint);
    fact.set_refused(decision.state == Decision::State::Refused);
    fact.set_lost(decision.state == Decision::State::Lost);
    fact.set_age_ms(static_cast<std::uint64_t>((now - decision.changed).count()));
    return fact;
}

} // namespace rhubarblane
