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

wire::TargetEntry entryOf(const AgentSettings &settings)
{
    wire::TargetEntry entry;
    entry.set_target(targetIdOf(settings.name).value());
    entry.set_incarnation(settings.incarnation.value());
    entry.set_sequence(1);
    entry.set_name(settings.name);
    *entry.mutable_address() = toWire(settings.address);
    entry.set_client(settings.client);
    entry.set_availability_zone(settings.availabilityZone);
    for (const auto &[key, value] : settings.labels) {
        wire::Label *label = entry.add_labels();
        label->set_key(key);
        label->set_value(value);
    }
    entry.set_state(wire::JOINING);
    entry.set_slots(settings.slots);
    entry.set_capacity_milli(settings.capacityMilli);
    return entry;
}

} // namespace

AgentCore::AgentCore(AgentSettings settings)
    : settings_(std::move(settings))
    , group_(entryOf(settings_))
    , placement_(settings_)
{
}

void AgentCore::handleMessage(Timestamp now, const PeerAddress &from, const wire::Envelope &message)
{
    now = advance(now);
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
    case wire::Envelope::kHeartbeat:
        handle(now, from, message.heartbeat());
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
    if (message.target_incarnation() != 0 && message.target_incarnation() != self().incarnation()) {
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
    const std::optional<TargetId> home = group_.homeOf(flowHashOf(flow));
    if (home && home->value() != self().target()) {
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
    const std::vector<TargetId> candidates = placement_.candidatesFor(flowHashOf(flow), roster());
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
    place.set_home(self().target());
    place.set_home_incarnation(self().incarnation());
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
    const bool canAccept = placement_.canAccept(self(), load());
    const bool isCandidate = !message.candidates().empty() && message.candidates(0) == self().target();
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
            next.mutable_best()->set_target(self().target());
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
    const wire::TargetEntry *entry = roster().find(TargetId(next.candidates(0)));
    if (entry == nullptr) {
        sendPlaceResult(message, false);
        return;
    }
    if (entry->target() == self().target()) {
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

void AgentCore::handle(Timestamp now, const PeerAddress &from, const wire::Heartbeat &message)
{
    if (service_ && message.service() != service_->service()) {
        ++counters_.wrongService;
        return;
    }
    if (!group_.handle(now, from, message)) {
        ++counters_.staleIncarnation;
    }
}

void AgentCore::handle(Timestamp now, const PeerAddress &from, const wire::AnnounceAck &message)
{
    if (message.target() != self().target() || message.incarnation() != self().incarnation()) {
        ++counters_.staleIncarnation;
        return;
    }
    if (message.configuration_revision() < configurationRevision_) {
        return;
    }
    configurationRevision_ = message.configuration_revision();
    if (message.has_service()) {
        service_ = message.service();
        for (const wire::TargetEntry &entry : message.members()) {
            group_.learn(now, entry);
        }
        group_.start(now, ServiceId(service_->service()), service_->at_most_once());
        for (const std::uint64_t removed : message.removed()) {
            group_.remove(now, TargetId(removed));
        }
        if (placement_.tick(now)) {
            group_.setCapacity(now, placement_.weightMilli());
        }
        group_.tick(now, wireLoad());
    }
    if (message.drain() && !isDraining()) {
        beginDrain(now, now + Milliseconds(static_cast<std::int64_t>(message.drain_deadline_ms())));
    }
}

void AgentCore::handleFromTarget(Timestamp now, const FlowTuple &flow, FlowNumber number, std::string packet)
{
    now = advance(now);
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
    now = advance(now);
    const FlowRecord *record = flows_.find(flow);
    if (record != nullptr && record->number == number) {
        endFlow(now, flow);
    }
}

void AgentCore::tick(Timestamp now)
{
    now = advance(now);
    group_.tick(now, wireLoad());
    group_.setRegistered(now);
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
    group_.beginDrain(now);
}

bool AgentCore::isDrained(Timestamp now) const
{
    return isDraining() && (flows_.size() == 0 || now >= *drainDeadline_);
}

Timestamp AgentCore::advance(Timestamp now)
{
    const std::uint64_t jumps = time_.jumps();
    const std::uint64_t pauses = time_.pauses();
    now_ = time_.advance(now);
    if (time_.jumps() != jumps) {
        group_.handleClockJump(now_);
    } else if (time_.pauses() != pauses) {
        group_.handlePause(now_);
    }
    return now_;
}

std::vector<AgentAction> AgentCore::takeActions()
{
    if (self().state() != announcedState_) {
        announce(now_);
    }
    for (SendMessage &message : group_.takeMessages(now_)) {
        actions_.emplace_back(std::move(message));
    }
    return std::exchange(actions_, {});
}

void AgentCore::announce(Timestamp now)
{
    announcedState_ = self().state();
    nextAnnounce_ = now + AnnounceInterval;
    wire::Envelope envelope;
    wire::Announce *message = envelope.mutable_announce();
    *message->mutable_entry() = self();
    *message->mutable_load() = wireLoad();
    message->set_sent_ms(static_cast<std::uint64_t>(now.milliseconds()));
    message->set_configuration_revision(configurationRevision_);
    for (const PeerAddress &balancer : settings_.balancers) {
        send(balancer, envelope);
    }
}

void AgentCore::accept(Timestamp now, const FlowTuple &flow, const wire::Forward &message)
{
    FlowRecord &record = flows_.insert(flow, now);
    record.active = true;
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
    const std::optional<TargetId> home = group_.homeOf(flowHashOf(flow));
    if (!home || home->value() == self().target()) {
        return;
    }
    wire::Envelope envelope;
    *envelope.mutable_flow_end()->mutable_flow() = toWire(flow);
    envelope.mutable_flow_end()->set_service(self().service());
    envelope.mutable_flow_end()->set_owner(self().target());
    send(fromWire(roster().find(*home)->address()), std::move(envelope));
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
    const wire::TargetEntry *entry = roster().find(to);
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
        result->set_owner(self().target());
        result->set_owner_incarnation(self().incarnation());
    }
    if (place.home() == self().target()) {
        handle(Timestamp(), settings_.address, *result);
        return;
    }
    const wire::TargetEntry *home = roster().find(TargetId(place.home()));
    if (home != nullptr) {
        send(fromWire(home->address()), std::move(envelope));
    }
}

void AgentCore::tellOwner(const wire::Forward &message, TargetId owner, std::uint64_t ownerIncarnation)
{
    const wire::TargetEntry *entry = roster().find(owner);
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

wire::Load AgentCore::wireLoad() const
{
    wire::Load result;
    result.set_busy_slots(std::min(activeFlows_, settings_.slots));
    result.set_open_flows(static_cast<std::uint32_t>(flows_.size()));
    result.set_expected_wait_ms(placement_.expectedWait(load()));
    return result;
}

LocalLoad AgentCore::load() const
{
    return LocalLoad {activeFlows_, flows_.size()};
}

} // namespace rhubarblane
