#include "agent/agentcore.h"

#include <algorithm>
#include <utility>

namespace rhubarblane
{

namespace
{

constexpr Milliseconds AnnounceInterval(1000);
constexpr Milliseconds ExpiryInterval(100);
// All balancers have been notified of a drain after 3 s at the design size; until then they may still forward packets
// of new flows.
constexpr Milliseconds DrainLinger(3000);
// This long after the drain deadline the agent leaves the group even if some facts are not registered.
constexpr Milliseconds DrainGrace(1000);
constexpr std::int64_t ColdStartSteps = 10;

} // namespace

AgentCore::AgentCore(AgentSettings settings)
    : context_(std::move(settings))
    , outcomes_(context_)
    , coordinator_(context_, outcomes_)
    , owned_(context_)
    , registrations_(context_)
{
}

void AgentCore::handleMessage(Timestamp now, const PeerAddress &from, const wire::Envelope &message)
{
    handleMessage(now, from, wire::Envelope(message));
}

void AgentCore::handleMessage(Timestamp now, const PeerAddress &from, wire::Envelope &&message)
{
    now = advance(now);
    dispatch(now, from, std::move(message));
    finishEvent(now);
}

void AgentCore::dispatch(Timestamp now, const PeerAddress &from, wire::Envelope &&message)
{
    switch (message.message_case()) {
    case wire::Envelope::kForward:
        handle(now, std::move(*message.mutable_forward()));
        break;
    case wire::Envelope::kPlace:
        owned_.handle(now, std::move(*message.mutable_place()));
        break;
    case wire::Envelope::kPlaceResult:
        if (matchesService(message.place_result().service())) {
            coordinator_.handle(now, message.place_result());
        }
        break;
    case wire::Envelope::kFlowEnd:
        if (matchesService(message.flow_end().service())) {
            coordinator_.handle(now, message.flow_end());
        }
        break;
    case wire::Envelope::kRegister:
        if (matchesService(message.register_().service())) {
            coordinator_.handle(now, message.register_());
        }
        break;
    case wire::Envelope::kRegisterAck:
        handle(now, message.register_ack());
        break;
    case wire::Envelope::kQuery:
        if (matchesService(message.query().service())) {
            handle(now, message.query());
        }
        break;
    case wire::Envelope::kQueryAnswer:
        if (matchesService(message.query_answer().service())) {
            coordinator_.handle(now, message.query_answer());
        }
        break;
    case wire::Envelope::kHeartbeat:
        handle(now, from, message.heartbeat());
        break;
    case wire::Envelope::kAnnounceAck:
        handle(now, message.announce_ack());
        break;
    default:
        ++context_.counters.malformed;
        break;
    }
}

void AgentCore::handle(Timestamp now, wire::Forward &&message)
{
    if (!matchesService(message.service())) {
        return;
    }
    if (message.target_incarnation() != 0 && message.target_incarnation() != self().incarnation()) {
        ++context_.counters.staleIncarnation;
        context_.clearOwner(message);
        return;
    }
    const FlowTuple flow = fromWire(message.flow());
    FlowRecord *record = context_.flows.find(flow);
    if (record != nullptr && record->closing && message.opening()
        && fingerprintOf(flow.protocol, message.packet()) != record->fingerprint) {
        // The caller reuses the port of a flow that both sides have closed.
        owned_.end(now, *record, false);
        record = nullptr;
    }
    if (record != nullptr) {
        owned_.deliver(now, *record, std::move(*message.mutable_packet()));
        return;
    }
    if (message.opening() && context_.ended.find(flow, fingerprintOf(flow.protocol, message.packet())) != nullptr) {
        ++context_.counters.droppedDuplicates;
        return;
    }
    if (message.to_owner()) {
        context_.clearOwner(message);
        owned_.denyOwnership(flow);
    }
    coordinator_.handle(now, flow, std::move(message));
}

void AgentCore::handle(Timestamp now, const wire::Query &message)
{
    const FlowTuple flow = fromWire(message.flow());
    const std::optional<MemberKey> home = context_.memberKey(TargetId(message.home()));
    if (!home || (!message.cancel() && message.roster_digest() != roster().digest())) {
        // With a different roster a negative answer would not oblige this agent to send the flow to the querying home.
        return;
    }
    wire::Envelope envelope;
    wire::QueryAnswer *answer = envelope.mutable_query_answer();
    answer->set_service(message.service());
    *answer->mutable_flow() = message.flow();
    answer->set_target(context_.id().value());
    answer->set_attempt(message.attempt());
    answer->set_roster_digest(message.roster_digest());
    answer->set_cancel(message.cancel());
    const bool owns = owned_.describe(flow, message.fingerprint(), *answer);
    if (message.cancel() && !owns) {
        owned_.cancel(now, flow, *home, message.attempt());
    }
    if (!message.cancel() && !owns) {
        outcomes_.describe(now, flow, message.fingerprint(), *answer);
    }
    context_.sendTo(home->target, std::move(envelope));
}

void AgentCore::handle(Timestamp now, const wire::RegisterAck &message)
{
    const std::optional<Registrations::Batch> batch = registrations_.handle(message);
    if (!batch) {
        return;
    }
    for (const wire::Registration &fact : batch->facts) {
        owned_.markRegistered(fact, batch->home);
        outcomes_.markRegistered(fact, batch->home);
    }
    for (const wire::Registration &fact : message.rejected()) {
        FlowRecord *record = context_.flows.find(fromWire(fact.flow()));
        if (record != nullptr && record->number.value() == fact.flow_number()
            && fact.owner() == context_.id().value()) {
            ++context_.counters.rejectedByHome;
            owned_.end(now, *record, false);
        }
    }
}

void AgentCore::handle(Timestamp now, const PeerAddress &from, const wire::Heartbeat &message)
{
    if (!matchesService(message.service())) {
        return;
    }
    if (!context_.group.handle(now, from, message)) {
        ++context_.counters.staleIncarnation;
    }
}

void AgentCore::handle(Timestamp now, const wire::AnnounceAck &message)
{
    if (message.target() != self().target() || message.incarnation() != self().incarnation()) {
        ++context_.counters.staleIncarnation;
        return;
    }
    if (message.configuration_revision() < configurationRevision_) {
        return;
    }
    configurationRevision_ = message.configuration_revision();
    // The service of a running target does not change, because its open flows belong to that service.
    if (message.has_service() && (!context_.service || context_.service->service() == message.service().service())) {
        context_.service = message.service();
        owned_.configure(message.service());
        outcomes_.limits().configure(message.service().max_flows_per_client(), message.service().priority());
        for (const wire::TargetEntry &entry : message.members()) {
            context_.group.mergeFromBalancer(now, entry);
        }
        context_.group.start(now, ServiceId(message.service().service()), message.service().at_most_once());
        for (const std::uint64_t removed : message.removed()) {
            context_.group.remove(now, TargetId(removed));
        }
        context_.group.tick(now, load());
    }
    if (message.drain() && !isDraining()) {
        drainStart_ = now;
        drainDeadline_ = now + Milliseconds(static_cast<std::int64_t>(message.drain_deadline_ms()));
        context_.group.beginDrain(now);
    }
}

void AgentCore::handleFromTarget(Timestamp now, const FlowTuple &flow, FlowNumber number, std::string packet)
{
    now = advance(now);
    FlowRecord *record = context_.flows.find(flow);
    if (record == nullptr || record->number != number) {
        ++context_.counters.lateFromTarget;
        return;
    }
    owned_.handleFromTarget(now, *record, std::move(packet));
    finishEvent(now);
}

void AgentCore::handleTargetClosed(Timestamp now, const FlowTuple &flow, FlowNumber number)
{
    now = advance(now);
    FlowRecord *record = context_.flows.find(flow);
    if (record != nullptr && record->number == number) {
        owned_.end(now, *record, false);
    }
    finishEvent(now);
}

void AgentCore::tick(Timestamp now)
{
    now = advance(now);
    context_.placement.tick(now);
    context_.group.tick(now, load());
    coordinator_.tick(now);
    if (now >= nextExpiry_) {
        nextExpiry_ = now + ExpiryInterval;
        owned_.tick(now);
        outcomes_.tick(now);
    }
    runColdStart(now);
    runDrain(now);
    owned_.collectRecent(now, registrations_);
    finishEvent(now);
    registrations_.tick(now);
    if (now >= nextAnnounce_) {
        announce(now);
    }
}

void AgentCore::beginDrain(Timestamp now, Timestamp deadline)
{
    now = advance(now);
    if (!isDraining()) {
        drainStart_ = now;
        context_.group.beginDrain(now);
    }
    drainDeadline_ = time_.translate(deadline);
    finishEvent(now);
}

std::vector<AgentAction> AgentCore::takeActions()
{
    if (self().state() != announcedState_) {
        announce(now_);
    }
    for (SendMessage &message : context_.group.takeMessages(now_)) {
        context_.actions.emplace_back(std::move(message));
    }
    return std::exchange(context_.actions, {});
}

Timestamp AgentCore::advance(Timestamp now)
{
    const std::uint64_t jumps = time_.jumps();
    const std::uint64_t pauses = time_.pauses();
    now_ = time_.advance(now);
    if (time_.jumps() != jumps) {
        context_.group.handleClockJump(now_);
    } else if (time_.pauses() != pauses) {
        context_.group.handlePause(now_);
    }
    return now_;
}

bool AgentCore::matchesService(std::uint64_t service)
{
    if (context_.service && service == context_.service->service()) {
        return true;
    }
    ++context_.counters.wrongService;
    return false;
}

void AgentCore::finishEvent(Timestamp now)
{
    do {
        while (!context_.selfMessages.empty()) {
            wire::Envelope message = std::move(context_.selfMessages.front());
            context_.selfMessages.pop_front();
            dispatch(now, context_.settings.address, std::move(message));
        }
        synchronize(now);
    } while (!context_.selfMessages.empty());
}

void AgentCore::synchronize(Timestamp now)
{
    const bool reregister = collectedRejoins_ != context_.group.rejoins();
    if (reregister || collectedVersion_ != context_.group.homeVersion()) {
        collectedRejoins_ = context_.group.rejoins();
        collectedVersion_ = context_.group.homeVersion();
        registrations_.clear();
        owned_.collect(now, registrations_, reregister);
        outcomes_.collect(now, registrations_);
        coordinator_.tick(now);
        registrations_.tick(now);
    }
    outcomes_.collectRecent(now, registrations_);
    if (!context_.group.isRegistered() && registrations_.isEmpty() && !coordinator_.decidesForeignFlows()) {
        context_.group.setRegistered(now);
    }
}

void AgentCore::runDrain(Timestamp now)
{
    if (!isDraining() || self().left()) {
        return;
    }
    if (now >= *drainDeadline_) {
        owned_.endAll(now);
    }
    const bool isComplete = now - *drainStart_ >= DrainLinger && context_.group.isRegistered();
    if (context_.flows.size() == 0 && (isComplete || now >= *drainDeadline_ + DrainGrace)) {
        context_.group.leave(now);
    }
}

void AgentCore::runColdStart(Timestamp now)
{
    if (self().state() != wire::SERVING) {
        servingSince_.reset();
        return;
    }
    servingSince_ = servingSince_.value_or(now);
    const std::int64_t duration = context_.settings.coldStart.count();
    const std::int64_t served = (now - *servingSince_).count();
    const std::int64_t step = served >= duration ? ColdStartSteps : 1 + served * (ColdStartSteps - 1) / duration;
    const std::int64_t capacity = std::int64_t {context_.placement.weightMilli()} * step / ColdStartSteps;
    context_.group.setCapacity(now, static_cast<std::uint32_t>(std::max<std::int64_t>(capacity, 1)));
}

void AgentCore::announce(Timestamp now)
{
    nextAnnounce_ = now + AnnounceInterval;
    announcedState_ = self().state();
    wire::Envelope envelope;
    wire::Announce *message = envelope.mutable_announce();
    *message->mutable_entry() = self();
    *message->mutable_load() = load();
    message->set_sent_ms(static_cast<std::uint64_t>(now.milliseconds()));
    message->set_configuration_revision(configurationRevision_);
    for (const PeerAddress &balancer : context_.settings.balancers) {
        context_.send(balancer, wire::Envelope(envelope));
    }
}

wire::Load AgentCore::load() const
{
    wire::Load result;
    result.set_busy_slots(std::min(context_.activeFlows, context_.settings.slots));
    result.set_queued(context_.activeFlows - result.busy_slots());
    result.set_open_flows(static_cast<std::uint32_t>(context_.flows.size()));
    result.set_expected_wait_ms(context_.placement.expectedWait(context_.load()));
    return result;
}

} // namespace rhubarblane
