#include "agent/flowcoordinator.h"

#include "agent/packetsummary.h"
#include "base/hash.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace rhubarblane
{

namespace
{

// Longer than the 4 s after which a dead member is declared gone and its answer is no longer required.
constexpr Milliseconds WaitingTimeout(5000);
// If the result of a placement is still missing at this age, the caller is notified that the flow may have run.
constexpr Milliseconds UnknownTimeout(3000);
// Well above the duration of one placement: 6 hops of up to 1.5 ms each, and a queued send.
constexpr Milliseconds PlaceTimeout(250);
constexpr Milliseconds InitialBackoff(100);
constexpr Milliseconds MaximumBackoff(1000);
constexpr unsigned MaximumAttempts = 2;

MemberKey ownerOf(const wire::Registration &fact)
{
    return MemberKey {TargetId(fact.owner()), fact.owner_incarnation()};
}

} // namespace

FlowCoordinator::FlowCoordinator(AgentContext &context, DecisionOutcomes &outcomes)
    : context_(context)
    , outcomes_(outcomes)
    , decisions_(outcomes.table())
    // Attempt numbers of different incarnations do not overlap, so that a late result of an earlier process does not
    // match.
    , nextAttempt_(hashPair(context.group.self().incarnation(), context.id().value()) >> 1)
{
}

void FlowCoordinator::handle(Timestamp now, const FlowTuple &flow, wire::Forward &&message)
{
    if (Decision *known = decisions_.find(flow)) {
        if (known->isUndecided()) {
            enqueue(*known, std::move(message));
            return;
        }
        if (known->state == Decision::State::Placed) {
            const bool isOwn = known->owner == context_.selfKey();
            if (!isOwn && context_.group.isLive(known->owner.target, known->owner.incarnation)) {
                context_.notifyOwner(message, known->owner);
                context_.forwardTo(std::move(message), known->owner.target, true);
                return;
            }
            if (!isOwn) {
                decisions_.setState(now, *known, Decision::State::Lost);
            }
        }
        if (known->isFinal() && outcomes_.answerFinal(*known, message)) {
            return;
        }
        decisions_.erase(*known);
    }
    const std::optional<TargetId> home = context_.group.homeOf(flowHashOf(flow));
    if (!home) {
        ++context_.counters.noFlow;
        return;
    }
    if (*home != context_.id()) {
        context_.forwardTo(std::move(message), *home, false);
        return;
    }
    if (!outcomes_.limits().tryOpen(flow.callerAddress)) {
        ++context_.counters.limited;
        if (message.opening()) {
            context_.refuse(message.packet(), Refusal::NotRun);
            // The refusal must apply to late duplicates as well.
            Decision &refused = decisions_.insert(now, flow);
            refused.fingerprint = fingerprintOf(flow.protocol, message.packet());
            decisions_.setState(now, refused, Decision::State::Refused);
        }
        return;
    }
    Decision &decision = decisions_.insert(now, flow);
    decision.opening = message.opening();
    decision.fingerprint = fingerprintOf(flow.protocol, message.packet());
    decisions_.enqueue(decision, std::move(message));
    if (decision.queued.empty()) {
        ++context_.counters.queueFull;
        outcomes_.drop(decision);
        return;
    }
    evaluate(now, decision);
}

void FlowCoordinator::enqueue(Decision &decision, wire::Forward &&message)
{
    if (message.opening() && fingerprintOf(decision.flow.protocol, message.packet()) == decision.fingerprint) {
        ++context_.counters.droppedDuplicates;
        return;
    }
    if (decision.callerNotified) {
        context_.refuse(message.packet(), Refusal::Unknown);
    } else if (!decisions_.enqueue(decision, std::move(message))) {
        ++context_.counters.queueFull;
    }
}

void FlowCoordinator::evaluate(Timestamp now, Decision &decision)
{
    const FlowHash hash = flowHashOf(decision.flow);
    const std::optional<TargetId> home = context_.group.homeOf(hash);
    if (!home || *home != context_.id()) {
        outcomes_.forwardToHome(decision, home.value_or(TargetId()));
        return;
    }
    const std::uint64_t digest = context_.group.roster().digest();
    if (decision.answeredDigest != digest) {
        decision.answered.clear();
        decision.answeredDigest = digest;
        decision.backoff = InitialBackoff;
        decision.retryAt = now;
    }
    std::vector<TargetId> missing = context_.group.membersToQuery(hash);
    missing.erase(std::remove_if(missing.begin(),
                                 missing.end(),
                                 [&](TargetId member) {
                                     return std::find(decision.answered.begin(), decision.answered.end(), member)
                                         != decision.answered.end();
                                 }),
                  missing.end());
    if (!missing.empty()) {
        query(now, decision, missing);
        return;
    }
    if (!decision.opening) {
        ++context_.counters.noFlow;
        if (!context_.group.hasUnresolvedSuspicion()) {
            outcomes_.reportUnknown(decision);
        }
        outcomes_.drop(decision);
        return;
    }
    if (context_.isAtMostOnce()) {
        if (context_.group.isInQuarantine(now, hash)) {
            ++context_.counters.unknown;
            outcomes_.drop(decision);
            return;
        }
        if (!context_.group.hasMajority(now)) {
            return;
        }
    }
    place(now, decision);
}

void FlowCoordinator::query(Timestamp now, Decision &decision, const std::vector<TargetId> &members)
{
    if (now < decision.retryAt) {
        return;
    }
    for (const TargetId member : members) {
        wire::Envelope envelope;
        wire::Query *message = envelope.mutable_query();
        message->set_service(context_.group.self().service());
        *message->mutable_flow() = toWire(decision.flow);
        message->set_home(context_.id().value());
        message->set_attempt(decision.attempt);
        message->set_roster_digest(decision.answeredDigest);
        message->set_cancel(decision.state == Decision::State::Cancelling);
        message->set_fingerprint(decision.fingerprint);
        ++context_.counters.queries;
        context_.sendTo(member, std::move(envelope));
    }
    decision.retryAt = now + context_.withJitter(decision.backoff);
    decision.backoff = std::min(decision.backoff * 2, MaximumBackoff);
}

void FlowCoordinator::place(Timestamp now, Decision &decision)
{
    std::vector<TargetId> candidates = Placement::candidatesFor(
        flowHashOf(decision.flow), context_.group.roster(), context_.settings.placement.candidates);
    const auto firstUnresponsive = std::stable_partition(candidates.begin(), candidates.end(), [&](TargetId candidate) {
        return !context_.group.isUnresponsive(now, candidate);
    });
    if (firstUnresponsive != candidates.begin()) {
        candidates.erase(firstUnresponsive, candidates.end());
    }
    if (candidates.empty()) {
        outcomes_.settleRefused(now, decision);
        return;
    }
    decision.attempt = nextAttempt_++;
    ++decision.attempts;
    decision.candidates.clear();
    wire::Envelope envelope;
    wire::Place *message = envelope.mutable_place();
    *message->mutable_forward() = decision.queued.front();
    message->set_home(context_.id().value());
    message->set_home_incarnation(context_.group.self().incarnation());
    message->set_attempt(decision.attempt);
    for (const TargetId candidate : candidates) {
        const std::optional<MemberKey> member = context_.memberKey(candidate);
        if (member) {
            message->add_candidates(candidate.value());
            decision.candidates.push_back(*member);
        }
    }
    decisions_.setState(now, decision, Decision::State::Placing);
    decision.retryAt = now + context_.withJitter(PlaceTimeout);
    context_.sendTo(candidates.front(), std::move(envelope));
}

void FlowCoordinator::handle(Timestamp now, const wire::PlaceResult &message)
{
    Decision *decision = decisions_.find(fromWire(message.flow()));
    const bool isExpected = decision != nullptr
        && (decision->state == Decision::State::Placing || decision->state == Decision::State::Cancelling)
        && decision->attempt == message.attempt();
    if (!isExpected) {
        return;
    }
    if (message.accepted()) {
        outcomes_.settlePlaced(
            now, *decision, MemberKey {TargetId(message.owner()), message.owner_incarnation()}, message.flow_number());
    } else if (decision->callerNotified) {
        outcomes_.settleLost(now, *decision);
    } else {
        outcomes_.settleRefused(now, *decision);
    }
}

void FlowCoordinator::handle(Timestamp now, const wire::FlowEnd &message)
{
    Decision *decision = decisions_.find(fromWire(message.flow()));
    if (decision == nullptr || decision->state != Decision::State::Placed
        || decision->owner.target.value() != message.owner() || decision->number > message.flow_number()) {
        return;
    }
    context_.ended.add(
        now, EndedFlow {decision->flow, decision->fingerprint, decision->owner, decision->number, now, std::nullopt});
    decisions_.erase(*decision);
}

void FlowCoordinator::handle(Timestamp now, const wire::QueryAnswer &message)
{
    Decision *decision = decisions_.find(fromWire(message.flow()));
    if (decision == nullptr) {
        return;
    }
    const TargetId member(message.target());
    if (message.cancel()) {
        if (decision->state != Decision::State::Cancelling || decision->attempt != message.attempt()) {
            return;
        }
        if (message.known()) {
            outcomes_.settlePlaced(now, *decision, ownerOf(message.fact()), message.fact().flow_number());
            if (message.fact().ended()) {
                outcomes_.applyFact(now, message.fact());
            }
            return;
        }
        std::vector<MemberKey> &open = decision->candidates;
        open.erase(std::remove_if(open.begin(), open.end(), [&](const MemberKey &key) { return key.target == member; }),
                   open.end());
        cancel(now, *decision);
        return;
    }
    if (decision->state != Decision::State::Waiting || message.pending()
        || message.roster_digest() != context_.group.roster().digest()) {
        return;
    }
    const MemberKey owner = ownerOf(message.fact());
    const bool isOwnStaleFact = message.known() && owner == context_.selfKey() && !message.fact().ended()
        && !message.fact().refused() && !message.fact().lost();
    if (message.known() && !isOwnStaleFact) {
        outcomes_.applyFact(now, message.fact());
        return;
    }
    if (decision->answeredDigest == message.roster_digest()) {
        decision->answered.push_back(member);
    }
    evaluate(now, *decision);
}

void FlowCoordinator::handle(Timestamp now, const wire::Register &message)
{
    if (!context_.group.isLive(TargetId(message.target()), message.incarnation())) {
        ++context_.counters.staleIncarnation;
        return;
    }
    wire::Envelope envelope;
    wire::RegisterAck *ack = envelope.mutable_register_ack();
    ack->set_service(message.service());
    ack->set_target(context_.id().value());
    ack->set_roster_digest(message.roster_digest());
    ack->set_batch(message.batch());
    for (const wire::Registration &fact : message.flows()) {
        if (!outcomes_.applyFact(now, fact)) {
            *ack->add_rejected() = fact;
        }
    }
    context_.sendTo(TargetId(message.target()), std::move(envelope));
}

bool FlowCoordinator::decidesForeignFlows()
{
    for (const Decision &decision : decisions_.undecided()) {
        if (decision.state != Decision::State::Waiting
            && context_.group.homeOf(flowHashOf(decision.flow)) != context_.id()) {
            return true;
        }
    }
    return false;
}

void FlowCoordinator::tick(Timestamp now)
{
    std::vector<FlowTuple> flows;
    std::transform(decisions_.undecided().begin(),
                   decisions_.undecided().end(),
                   std::back_inserter(flows),
                   [](const Decision &decision) { return decision.flow; });
    for (const FlowTuple &flow : flows) {
        Decision &decision = *decisions_.find(flow);
        if (decision.state == Decision::State::Waiting) {
            if (now - decision.started >= WaitingTimeout) {
                ++context_.counters.unknown;
                outcomes_.drop(decision);
            } else {
                evaluate(now, decision);
            }
            continue;
        }
        if (decision.state == Decision::State::Placing && now >= decision.retryAt) {
            ++context_.counters.retries;
            decisions_.setState(now, decision, Decision::State::Cancelling);
            decision.backoff = InitialBackoff;
            decision.retryAt = now;
        }
        if (decision.state == Decision::State::Cancelling) {
            if (!decision.callerNotified && now - decision.started >= UnknownTimeout) {
                outcomes_.reportUnknown(decision);
            }
            cancel(now, decision);
        }
    }
}

void FlowCoordinator::cancel(Timestamp now, Decision &decision)
{
    std::vector<TargetId> open;
    std::vector<MemberKey> &candidates = decision.candidates;
    candidates.erase(std::remove_if(candidates.begin(),
                                    candidates.end(),
                                    [&](const MemberKey &key) {
                                        const bool isDead = !context_.group.isLive(key.target, key.incarnation);
                                        decision.mayHaveRun = decision.mayHaveRun || isDead;
                                        return isDead;
                                    }),
                     candidates.end());
    open.reserve(candidates.size());
    for (const MemberKey &candidate : candidates) {
        open.push_back(candidate.target);
    }
    if (!open.empty()) {
        query(now, decision, open);
        return;
    }
    if (decision.mayHaveRun || decision.callerNotified) {
        outcomes_.settleLost(now, decision);
    } else if (decision.attempts >= MaximumAttempts) {
        outcomes_.settleRefused(now, decision);
    } else {
        decisions_.setState(now, decision, Decision::State::Waiting);
        evaluate(now, decision);
    }
}

} // namespace rhubarblane
