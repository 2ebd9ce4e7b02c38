#include "agent/agentcore.h"

#include <algorithm>
#include <utility>

namespace rhubarblane
{

namespace
{

constexpr Milliseconds AnnounceInterval(1000);
constexpr Milliseconds ExpiryInterval(100);
// Longer than the packet lifetime, so that a late copy of a refused opening packet still finds the refusal.
constexpr Milliseconds DecisionRetention(60000);
constexpr Milliseconds DefaultIdleTimeout(60000);
constexpr std::uint32_t MaximumHops = 4;

} // namespace

AgentCore::AgentCore(AgentSettings settings)
    : settings_(std::move(settings))
    , placement_(settings_)
{
    self_.set_target(targetIdOf(settings_.name).value());
    self_.set_incarnation(settings_.incarnation.value());
    self_.set_sequence(1);
    self_.set_name(settings_.name);
    *self_.mutable_address() = toWire(settings_.address);
    self_.set_client(settings_.client);
    self_.set_availability_zone(settings_.availabilityZone);
    for (const auto &[key, value] : settings_.labels) {
        wire::Label *label = self_.add_labels();
        label->set_key(key);
        label->set_value(value);
    }
    self_.set_state(wire::JOINING);
    self_.set_slots(settings_.slots);
    self_.set_capacity_milli(settings_.capacityMilli);
}

void AgentCore::handleMessage(Timestamp now, const PeerAddress &from, const wire::Envelope &message)
{
    switch (message.message_case()) {
    case wire::Envelope::kForward:
        handle(now, from, message.forward());
        break;
    case wire::Envelope::kPlace:
        handle(now, from, message.place());
        break;
    case wire::Envelope::kPlaceResult:
        handle(now, from, message.place_result());
        break;
    case wire::Envelope::kFlowEnd:
        handle(now, from, message.flow_end());
        break;
    case wire::Envelope::kAnnounceAck:
        handle(now, from, message.announce_ack());
        break;
    default:
        ++counters_.malformed;
        break;
    }
}

void AgentCore::handle(Timestamp now, const PeerAddress &from, const wire::Forward &message)
{
    if (!service_ || message.service() != service_->service()) {
        ++counters_.wrongService;
        return;
    }
    if (message.target_incarnation() != 0 && message.target_incarnation() != self_.incarnation()) {
        ++counters_.staleIncarnation;
        return;
    }
    const FlowTuple flow = fromWire(message.flow());
    if (FlowRecord *record = flows_.find(flow)) {
        deliver(now, *record, message.packet());
        return;
    }
    const auto known = decisions_.find(flow);
    if (known != decisions_.end()) {
        const Decision &decision = known->second;
        if (decision.state == Decision::State::Placed) {
            tellOwner(message, decision.owner, decision.ownerIncarnation);
            sendOn(message, decision.owner, true);
        } else {
            // A copy of a packet whose flow is being decided or was refused must not be decided again.
            ++counters_.droppedCopies;
        }
        return;
    }
    const std::optional<TargetId> home = roster_.homeOf(flowHashOf(flow));
    if (home && home->value() != self_.target()) {
        sendOn(message, *home, false);
        return;
    }
    if (!message.opening()) {
        ++counters_.noFlow;
        refuse(message, Refusal::Unknown);
        return;
    }
    decide(now, flow, message);
}

void AgentCore::decide(Timestamp now, const FlowTuple &flow, const wire::Forward &message)
{
    const std::vector<TargetId> candidates = placement_.candidatesFor(flowHashOf(flow), roster_);
    Decision &decision = decisions_[flow];
    decision.attempt = nextAttempt_++;
    decision.changed = now;
    decision.forward = message;
    if (candidates.empty()) {
        decision.state = Decision::State::Refused;
        refuse(message, Refusal::NotRun);
        return;
    }
    wire::Place place;
    *place.mutable_forward() = message;
    place.set_home(self_.target());
    place.set_home_incarnation(self_.incarnation());
    place.set_attempt(decision.attempt);
    for (const TargetId candidate : candidates) {
        place.add_candidates(candidate.value());
    }
    handle(now, settings_.address, place);
}

void AgentCore::handle(Timestamp now, const PeerAddress &from, const wire::Place &message)
{
    if (!service_ || message.forward().service() != service_->service()) {
        ++counters_.wrongService;
        return;
    }
    const FlowTuple flow = fromWire(message.forward().flow());
    if (flows_.find(flow) != nullptr) {
        sendPlaceResult(message, true);
        return;
    }
    const bool canAccept = placement_.canAccept(self_, load());
    const bool isCandidate = !message.candidates().empty() && message.candidates(0) == self_.target();
    if (message.final()) {
        placement_.offerTaken();
        const bool accepted = canAccept;
        if (accepted) {
            accept(now, flow, message.forward());
        }
        sendPlaceResult(message, accepted);
        return;
    }
    wire::Place next = message;
    if (isCandidate) {
        if (canAccept && placement_.acceptsAtOnce(load())) {
            accept(now, flow, message.forward());
            sendPlaceResult(message, true);
            return;
        }
        const std::uint64_t wait = placement_.expectedWait(load());
        if (canAccept && placement_.isBetterOffer(next, wait)) {
            next.mutable_best()->set_target(self_.target());
            next.mutable_best()->set_expected_wait_ms(wait);
            placement_.offerMade(now);
        }
        next.mutable_candidates()->erase(next.candidates().begin());
    }
    if (next.candidates().empty()) {
        if (!next.has_best()) {
            sendPlaceResult(message, false);
            return;
        }
        next.set_final(true);
        next.add_candidates(next.best().target());
    }
    const wire::TargetEntry *entry = roster_.find(TargetId(next.candidates(0)));
    if (entry == nullptr) {
        sendPlaceResult(message, false);
        return;
    }
    if (entry->target() == self_.target()) {
        handle(now, from, next);
        return;
    }
    ++counters_.handedOn;
    wire::Envelope envelope;
    *envelope.mutable_place() = std::move(next);
    send(fromWire(entry->address()), std::move(envelope));
}

void AgentCore::handle(Timestamp now, const PeerAddress &from, const wire::PlaceResult &message)
{
    const FlowTuple flow = fromWire(message.flow());
    const auto position = decisions_.find(flow);
    if (position == decisions_.end()) {
        return;
    }
    Decision &decision = position->second;
    if (decision.state != Decision::State::Pending || decision.attempt != message.attempt()) {
        return;
    }
    decision.changed = now;
    if (message.accepted()) {
        decision.state = Decision::State::Placed;
        decision.owner = TargetId(message.owner());
        decision.ownerIncarnation = message.owner_incarnation();
        tellOwner(decision.forward, decision.owner, decision.ownerIncarnation);
    } else {
        decision.state = Decision::State::Refused;
        refuse(decision.forward, Refusal::NotRun);
    }
    decision.forward.Clear();
}

void AgentCore::handle(Timestamp now, const PeerAddress &from, const wire::FlowEnd &message)
{
    const auto position = decisions_.find(fromWire(message.flow()));
    if (position != decisions_.end() && position->second.owner.value() == message.owner()) {
        decisions_.erase(position);
    }
}

void AgentCore::handle(Timestamp now, const PeerAddress &from, const wire::AnnounceAck &message)
{
    if (message.target() != self_.target() || message.incarnation() != self_.incarnation()) {
        ++counters_.staleIncarnation;
        return;
    }
    if (message.configuration_revision() < configurationRevision_) {
        return;
    }
    configurationRevision_ = message.configuration_revision();
    if (message.has_service()) {
        service_ = message.service();
        if (self_.state() == wire::JOINING) {
            self_.set_state(wire::SERVING);
            self_.set_service(service_->service());
            self_.set_sequence(self_.sequence() + 1);
            nextAnnounce_ = now;
        }
    }
    for (const wire::TargetEntry &entry : message.members()) {
        if (entry.target() != self_.target()) {
            roster_.merge(entry);
        }
    }
    roster_.merge(self_);
    if (message.drain() && !isDraining()) {
        beginDrain(now, now + Milliseconds(static_cast<std::int64_t>(message.drain_deadline_ms())));
    }
}

void AgentCore::handleFromTarget(Timestamp now, const FlowTuple &flow, FlowNumber number, std::string packet)
{
    FlowRecord *record = flows_.find(flow);
    if (record == nullptr || record->number != number) {
        ++counters_.lateFromTarget;
        return;
    }
    record->lastFromTarget = now;
    flows_.touch(*record);
    actions_.emplace_back(SendToCaller {std::move(packet)});
    if (record->active && service_ && service_->request_kind()) {
        record->active = false;
        --activeFlows_;
        placement_.requestCompleted();
        placement_.activeChanged(now, activeFlows_);
    }
}

void AgentCore::handleTargetClosed(Timestamp now, const FlowTuple &flow, FlowNumber number)
{
    const FlowRecord *record = flows_.find(flow);
    if (record != nullptr && record->number == number) {
        endFlow(now, flow);
    }
}

void AgentCore::tick(Timestamp now)
{
    if (placement_.tick(now)) {
        self_.set_capacity_milli(placement_.weightMilli());
        self_.set_sequence(self_.sequence() + 1);
        roster_.merge(self_);
    }
    if (now >= nextAnnounce_) {
        announce(now);
    }
    if (now >= nextExpiry_) {
        nextExpiry_ = now + ExpiryInterval;
        expireFlows(now);
        expireDecisions(now);
    }
}

void AgentCore::beginDrain(Timestamp now, Timestamp deadline)
{
    drainDeadline_ = deadline;
    self_.set_state(wire::DRAINING);
    self_.set_sequence(self_.sequence() + 1);
    roster_.merge(self_);
    nextAnnounce_ = now;
}

bool AgentCore::isDrained(Timestamp now) const
{
    return isDraining() && (flows_.size() == 0 || now >= *drainDeadline_);
}

std::vector<AgentAction> AgentCore::takeActions()
{
    return std::exchange(actions_, {});
}

void AgentCore::announce(Timestamp now)
{
    nextAnnounce_ = now + AnnounceInterval;
    wire::Envelope envelope;
    wire::Announce *message = envelope.mutable_announce();
    *message->mutable_entry() = self_;
    message->mutable_load()->set_busy_slots(std::min(activeFlows_, settings_.slots));
    message->mutable_load()->set_open_flows(static_cast<std::uint32_t>(flows_.size()));
    message->mutable_load()->set_expected_wait_ms(placement_.expectedWait(load()));
    message->set_sent_ms(static_cast<std::uint64_t>(now.milliseconds()));
    message->set_configuration_revision(configurationRevision_);
    for (const PeerAddress &balancer : settings_.balancers) {
        send(balancer, envelope);
    }
}

void AgentCore::accept(Timestamp now, const FlowTuple &flow, const wire::Forward &message)
{
    FlowRecord &record = flows_.insert(flow, now);
    ++activeFlows_;
    placement_.activeChanged(now, activeFlows_);
    ++counters_.accepted;
    deliver(now, record, message.packet());
}

void AgentCore::deliver(Timestamp now, FlowRecord &record, const std::string &packet)
{
    record.lastFromCaller = now;
    flows_.touch(record);
    ++counters_.delivered;
    actions_.emplace_back(DeliverPacket {record.flow, record.number, packet});
}

void AgentCore::endFlow(Timestamp now, const FlowTuple &flow)
{
    const FlowRecord *record = flows_.find(flow);
    if (record == nullptr) {
        return;
    }
    if (record->active) {
        --activeFlows_;
        placement_.activeChanged(now, activeFlows_);
    }
    actions_.emplace_back(CloseFlow {flow, record->number});
    flows_.erase(flow);
    decisions_.erase(flow);
    const std::optional<TargetId> home = roster_.homeOf(flowHashOf(flow));
    if (!home || home->value() == self_.target()) {
        return;
    }
    wire::Envelope envelope;
    *envelope.mutable_flow_end()->mutable_flow() = toWire(flow);
    envelope.mutable_flow_end()->set_service(self_.service());
    envelope.mutable_flow_end()->set_owner(self_.target());
    send(fromWire(roster_.find(*home)->address()), std::move(envelope));
}

void AgentCore::expireFlows(Timestamp now)
{
    const Milliseconds idle = service_ && service_->idle_timeout_ms() > 0
        ? Milliseconds(static_cast<std::int64_t>(service_->idle_timeout_ms()))
        : DefaultIdleTimeout;
    while (FlowRecord *record = flows_.oldest()) {
        const Timestamp last = std::max(record->lastFromCaller, record->lastFromTarget);
        if (now - last < idle) {
            return;
        }
        endFlow(now, record->flow);
    }
}

void AgentCore::expireDecisions(Timestamp now)
{
    for (auto position = decisions_.begin(); position != decisions_.end();) {
        const Decision &decision = position->second;
        const bool expired = decision.state != Decision::State::Placed && now - decision.changed >= DecisionRetention;
        position = expired ? decisions_.erase(position) : std::next(position);
    }
}

void AgentCore::refuse(const wire::Forward &message, Refusal refusal)
{
    const auto parsed = parsePacket(message.packet());
    if (const PacketInfo *info = std::get_if<PacketInfo>(&parsed)) {
        ++counters_.refused;
        actions_.emplace_back(SendToCaller {buildRefusal(message.packet(), *info, refusal)});
    }
}

void AgentCore::sendOn(wire::Forward message, TargetId to, bool toOwner)
{
    if (message.hops() >= MaximumHops) {
        ++counters_.hopLimit;
        return;
    }
    const wire::TargetEntry *entry = roster_.find(to);
    if (entry == nullptr || entry->state() == wire::GONE) {
        ++counters_.noFlow;
        refuse(message, Refusal::Unknown);
        return;
    }
    ++counters_.forwarded;
    wire::Envelope envelope;
    message.set_hops(message.hops() + 1);
    message.set_to_owner(toOwner);
    message.set_target_incarnation(entry->incarnation());
    *envelope.mutable_forward() = std::move(message);
    send(fromWire(entry->address()), std::move(envelope));
}

void AgentCore::sendPlaceResult(const wire::Place &place, bool accepted)
{
    wire::Envelope envelope;
    wire::PlaceResult *result = envelope.mutable_place_result();
    *result->mutable_flow() = place.forward().flow();
    result->set_service(place.forward().service());
    result->set_attempt(place.attempt());
    result->set_accepted(accepted);
    if (accepted) {
        result->set_owner(self_.target());
        result->set_owner_incarnation(self_.incarnation());
    }
    if (place.home() == self_.target()) {
        handle(Timestamp(), settings_.address, *result);
        return;
    }
    const wire::TargetEntry *home = roster_.find(TargetId(place.home()));
    if (home != nullptr) {
        send(fromWire(home->address()), std::move(envelope));
    }
}

void AgentCore::tellOwner(const wire::Forward &message, TargetId owner, std::uint64_t ownerIncarnation)
{
    const wire::TargetEntry *entry = roster_.find(owner);
    if (entry == nullptr || !message.has_balancer()) {
        return;
    }
    wire::Envelope envelope;
    wire::FlowOwner *notice = envelope.mutable_flow_owner();
    *notice->mutable_flow() = message.flow();
    notice->set_owner(owner.value());
    notice->set_owner_incarnation(ownerIncarnation);
    *notice->mutable_owner_address() = entry->address();
    send(fromWire(message.balancer()), std::move(envelope));
}

void AgentCore::send(const PeerAddress &to, wire::Envelope message)
{
    actions_.emplace_back(SendMessage {to, std::move(message)});
}

LocalLoad AgentCore::load() const
{
    return LocalLoad {activeFlows_, flows_.size()};
}

} // namespace rhubarblane
