#include "relay/flowopener.h"

#include <string>
#include <utility>
#include <variant>

namespace rhubarblane
{

namespace
{

// A round trip between availability zones takes 3 ms; the rest allows for an agent that waits for its CPU share.
constexpr Milliseconds OfferTimeout(40);
// Callers send the last copy of an opening packet 0.6 s after the first one; the rest allows for delays on the way.
constexpr Milliseconds OpeningPeriod(2000);
// Agents report within 1 s of the first contact; until then a new balancer does not know all targets.
constexpr Milliseconds DiscoveryPeriod(1500);
// Limit on the new flows that wait until a target is known; callers retransmit the packets of further ones. With one
// packet each, the flows take 1 MB.
constexpr std::size_t MaximumQueuedFlows = 4096;
// Targets of one flow's offers, if cold ones return the last offers. An offer reaches up to three targets.
constexpr std::size_t MaximumTargetsWhileCold = 12;
// Share of a service's latency objective that a request may wait for a slot, in percent; the rest is for processing and
// the network. A longer queue delays all requests without increasing the throughput.
constexpr std::int64_t AcceptedWaitPercent = 45;
// AcceptedWaitPercent for a service whose targets also serve a more urgent one: at overload the queue stays short
// enough for the urgent requests, and the less urgent ones are refused first.
constexpr std::int64_t LessUrgentWaitPercent = 25;

} // namespace

FlowOpener::FlowOpener(RelayBalancerContext &context)
    : context_(context)
    , placement_(context.settings.randomSeed)
{
}

bool FlowOpener::isNewFlowOfUsedPort(Timestamp now, const RelayPacket &head) const
{
    const BalancerFlow *known = context_.flows.find(head.flow);
    if (known == nullptr) {
        return false;
    }
    const bool repeated =
        known->openingSequence ? *known->openingSequence == head.sequence : now - known->firstSeen < OpeningPeriod;
    return known->callerClosed || !repeated;
}

void FlowOpener::forgetEarlierFlow(Timestamp now, const FlowTuple &tuple)
{
    const BalancerFlow &earlier = *context_.flows.find(tuple);
    ++context_.counters.portsReused;
    context_.output.logDecision("portReused",
                                {{"flow", formatFlowTuple(tuple)},
                                 {"earlierAgent", formatPeerAddress(earlier.owner)},
                                 {"closed", earlier.callerClosed ? "true" : "false"},
                                 {"idleMs", std::to_string((now - earlier.lastActive).count())}});
    context_.flows.erase(tuple);
}

void FlowOpener::open(Timestamp now, const RelayedService &service, const RelayPacket &head, std::string_view packet)
{
    BalancerFlow &flow = context_.flows.touch(now, head.flow);
    const KnownTarget *owner = context_.ownerOf(flow);
    if (owner != nullptr && !owner->offerUnanswered && service.hasGroup(flow.group)) {
        if (flow.offered && !flow.candidates.empty()) {
            // Any of the candidates may hold the flow by now; a copy sent to another one would open it twice. If the
            // offer is lost, its timeout sends the packet again.
            return;
        }
        // A retransmitted opening packet; the target answers it again.
        context_.forward(flow.owner, flow.group, ForwardMode::Open, acceptedWait(service), packet);
        return;
    }
    if (flow.queued) {
        return;
    }
    flow.openingPacket = std::string(packet);
    flow.openingSequence = head.sequence;
    flow.history = OfferHistory();
    if (offerNext(now, flow, "none") == Placement::Queued) {
        context_.output.logDecision("flowWaiting",
                                    {{"flow", formatFlowTuple(head.flow)},
                                     {"reason", nameOf(Refusal::NoTarget)},
                                     {"targets", std::to_string(context_.targets.size())},
                                     {"uptimeMs", std::to_string((now - context_.started).count())}});
    }
}

FlowOpener::Placement FlowOpener::offerNext(Timestamp now, BalancerFlow &flow, std::string_view lastReturn)
{
    const RelayedService *service = context_.table->find(flow.tuple);
    if (service == nullptr) {
        // A newer table without the service was applied while the flow was opening.
        return refuse(now, flow, Refusal::NoTarget, lastReturn);
    }
    const WeightedGroup &group = service->groupOf(flow.tuple);
    const std::variant<Offer, Refusal> next = placement_.next(now,
                                                              context_.targets.ofGroup(group.id),
                                                              flow.history,
                                                              acceptedWait(*service),
                                                              context_.table->isMoreUrgent(*service));
    if (const Refusal *refusal = std::get_if<Refusal>(&next)) {
        return refuse(now, flow, *refusal, lastReturn);
    }
    const Offer &offer = std::get<Offer>(next);
    ++context_.counters.offers;
    flow.history.noteOffer(offer);
    flow.owner = offer.agent;
    flow.candidates = offer.candidates;
    flow.group = group.id;
    flow.offered = true;
    flow.offeredAt = now;
    flow.estimate = offer.estimate;
    offers_.emplace_back(flow.tuple, now);
    context_.targets.noteOffer(offer.agent);
    context_.forward(
        offer.agent, group.id, ForwardMode::Open, offer.acceptedWait, flow.openingPacket, offer.candidates);
    return Placement::Offered;
}

FlowOpener::Placement
FlowOpener::refuse(Timestamp now, BalancerFlow &flow, Refusal refusal, std::string_view lastReturn)
{
    const FlowTuple tuple = flow.tuple;
    const std::optional<RelayPacket> head = context_.format.decode(flow.openingPacket, PacketOrigin::Caller);
    const bool discovering = refusal != Refusal::Overload && now - context_.started < DiscoveryPeriod;
    if (discovering && queuedFlows_.size() < MaximumQueuedFlows) {
        enqueue(flow);
        return Placement::Queued;
    }
    ++(discovering ? context_.counters.droppedNoTarget : refusalCounter(refusal));
    context_.output.logDecision("flowRefused",
                                {{"flow", formatFlowTuple(tuple)},
                                 {"reason", nameOf(refusal)},
                                 {"offers", std::to_string(flow.history.tried.size())},
                                 {"lastReturn", std::string(lastReturn)},
                                 {"targets", std::to_string(context_.targets.size())},
                                 {"table", std::to_string(context_.table->version.value())},
                                 {"evacuations", formatStorePosition(context_.evacuations.state().asOf)},
                                 {"outcome", discovering ? "dropped" : "reset"}});
    context_.flows.erase(tuple);
    if (head && !discovering) {
        context_.resetCaller(*head);
    }
    return Placement::Refused;
}

std::uint64_t &FlowOpener::refusalCounter(Refusal refusal)
{
    RelayBalancerCounters &counters = context_.counters;
    switch (refusal) {
    case Refusal::NoTarget:
        return counters.refusedNoTarget;
    case Refusal::Evacuated:
        return counters.refusedEvacuated;
    case Refusal::Overload:
        break;
    }
    return counters.refusedOverload;
}

void FlowOpener::enqueue(BalancerFlow &flow)
{
    flow.owner = PeerAddress();
    flow.offered = false;
    flow.history = OfferHistory();
    flow.candidates = {};
    if (!std::exchange(flow.queued, true)) {
        queuedFlows_.push_back(flow.tuple);
    }
}

void FlowOpener::placeQueuedFlows(Timestamp now)
{
    for (const FlowTuple &tuple : std::exchange(queuedFlows_, {})) {
        BalancerFlow *flow = context_.flows.find(tuple);
        if (flow != nullptr && std::exchange(flow->queued, false)) {
            offerNext(now, *flow, "none");
        }
    }
}

Milliseconds FlowOpener::acceptedWait(const RelayedService &service) const
{
    const Milliseconds limit = service.objective > Milliseconds(0) ? service.objective : service.timeout;
    const bool lessUrgent = context_.table->isLessUrgent(service);
    return Milliseconds(limit.count() * (lessUrgent ? LessUrgentWaitPercent : AcceptedWaitPercent) / 100);
}

void FlowOpener::handleReturnedOffer(Timestamp now,
                                     const PeerAddress &agent,
                                     const FlowTuple &tuple,
                                     ReturnReason reason)
{
    ++context_.counters.offersReturned;
    BalancerFlow *flow = context_.flows.find(tuple);
    if (flow != nullptr && flow->offered && flow->isOfferedTo(agent)) {
        if (reason == ReturnReason::Cold && flow->history.tried.size() < MaximumTargetsWhileCold) {
            // The limit of a cold target tells nothing about the queues of the others.
            flow->history.lastOfferMade = false;
        }
        offerNext(now, *flow, nameOf(reason));
    }
}

void FlowOpener::noteUnansweredOffer(const BalancerFlow &flow)
{
    const KnownTarget *first = context_.targets.find(flow.owner);
    // If the first agent is heard, a candidate or a message between them was lost.
    const bool heard = first != nullptr && !flow.candidates.empty() && flow.offeredAt < first->lastContact;
    if (!heard) {
        context_.targets.noteUnansweredOffer(flow.owner);
    }
}

void FlowOpener::onTick(Timestamp now, Timestamp messagesRead)
{
    while (!offers_.empty() && messagesRead - offers_.front().second >= OfferTimeout) {
        const auto [tuple, offeredAt] = offers_.front();
        offers_.pop_front();
        BalancerFlow *flow = context_.flows.find(tuple);
        if (flow != nullptr && flow->offered && flow->offeredAt == offeredAt) {
            ++context_.counters.offersUnanswered;
            noteUnansweredOffer(*flow);
            offerNext(now, *flow, "unanswered");
        }
    }
    placeQueuedFlows(now);
}

} // namespace rhubarblane
