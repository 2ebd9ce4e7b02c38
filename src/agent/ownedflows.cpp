#include "agent/ownedflows.h"

#include <algorithm>
#include <utility>

namespace rhubarblane
{

namespace
{

constexpr Milliseconds DefaultIdleTimeout(60000);
// A flow is kept for this time after both sides have sent FIN, long enough for retransmissions of the closing
// handshake.
constexpr Milliseconds ClosedLinger(2000);
// A caller has few requests in flight on one port.
constexpr std::size_t RecentPackets = 8;

} // namespace

OwnedFlows::OwnedFlows(AgentContext &context)
    : context_(context)
    , queueLimit_(context.settings.queueLimit)
{
}

void OwnedFlows::configure(const wire::ServiceSettings &service)
{
    halfOpen_.configure(service.max_flows_per_client(), service.priority());
    queueLimit_ = limitForPriority(context_.settings.queueLimit, service.priority());
}

void OwnedFlows::handle(Timestamp now, wire::Place &&message)
{
    if (!context_.service || message.forward().service() != context_.service->service()) {
        ++context_.counters.wrongService;
        return;
    }
    const MemberKey home {TargetId(message.home()), message.home_incarnation()};
    if (!context_.group.isLive(home.target, home.incarnation)) {
        // Members that have declared the home gone rely on this agent to reject its flows.
        ++context_.counters.staleIncarnation;
        return;
    }
    const FlowTuple flow = fromWire(message.forward().flow());
    const std::uint64_t fingerprint = fingerprintOf(flow.protocol, message.forward().packet());
    if (FlowRecord *record = context_.flows.find(flow)) {
        sendResult(message, true, record->number.value());
        if (record->fingerprint != fingerprint) {
            deliver(now, *record, std::move(*message.mutable_forward()->mutable_packet()));
        }
        return;
    }
    if (const EndedFlow *ended = context_.ended.find(flow, fingerprint)) {
        ++context_.counters.droppedDuplicates;
        if (ended->owner == context_.selfKey()) {
            sendResult(message, true, ended->number);
            sendEnd(flow, home.target, ended->number);
        }
        return;
    }
    if (context_.group.homeOf(flowHashOf(flow)) != home.target) {
        // This agent may have announced to the flow's current home that all its flows are registered. The sender
        // retries once it has the same roster.
        ++context_.counters.staleHome;
        return;
    }
    const PlacementLog::Stage stage = message.final() ? PlacementLog::Stage::Final : PlacementLog::Stage::Offered;
    if (placementLog_.isRecorded(flow, home, message.attempt(), stage)) {
        ++context_.counters.droppedDuplicates;
        return;
    }
    const bool isNextCandidate = !message.candidates().empty() && message.candidates(0) == context_.id().value();
    if (!isNextCandidate) {
        ++context_.counters.malformed;
        return;
    }
    const bool canAccept = !context_.group.isSuperseded()
        && context_.placement.canAccept(context_.group.self(), context_.load(), queueLimit_)
        && context_.ended.size() < context_.settings.flowLimit;
    const bool accepts = canAccept && (message.final() || context_.placement.hasFreeSlot(context_.load()));
    const bool isTcp = flow.protocol == Protocol::Tcp;
    if (accepts && (!isTcp || halfOpen_.tryOpen(flow.callerAddress))) {
        accept(now, flow, message);
        return;
    }
    context_.counters.limited += accepts ? 1 : 0;
    placementLog_.record(now, flow, home, message.attempt(), stage);
    if (message.final()) {
        sendResult(message, false, 0);
        return;
    }
    if (canAccept && !accepts) {
        const std::uint64_t wait = context_.placement.expectedWait(context_.load());
        if (!message.has_best() || wait < message.best().expected_wait_ms()) {
            message.mutable_best()->set_target(context_.id().value());
            message.mutable_best()->set_expected_wait_ms(wait);
        }
    }
    forwardPlace(now, std::move(message));
}

void OwnedFlows::forwardPlace(Timestamp now, wire::Place &&message)
{
    auto *candidates = message.mutable_candidates();
    candidates->erase(candidates->begin());
    while (!candidates->empty() && !context_.memberKey(TargetId(message.candidates(0)))) {
        candidates->erase(candidates->begin());
    }
    if (candidates->empty()) {
        if (!message.has_best() || !context_.memberKey(TargetId(message.best().target()))) {
            sendResult(message, false, 0);
            return;
        }
        message.set_final(true);
        message.add_candidates(message.best().target());
    }
    ++context_.counters.forwardedPlacements;
    const TargetId next(message.candidates(0));
    wire::Envelope envelope;
    *envelope.mutable_place() = std::move(message);
    context_.sendTo(next, std::move(envelope));
}

void OwnedFlows::accept(Timestamp now, const FlowTuple &flow, wire::Place &message)
{
    std::string packet = std::move(*message.mutable_forward()->mutable_packet());
    FlowRecord &record = context_.flows.insert(flow, now);
    record.fingerprint = fingerprintOf(flow.protocol, packet);
    record.registeredHome = MemberKey {TargetId(message.home()), message.home_incarnation()};
    record.halfOpen = flow.protocol == Protocol::Tcp;
    ++context_.counters.accepted;
    setActive(now, record, context_.service->request_kind());
    sendResult(message, true, record.number.value());
    // deliver() would treat the opening packet as a duplicate.
    const PacketSummary summary = summarizePacket(flow.protocol, packet);
    record.callerSequence = summary.sequence + summary.payloadSize + (summary.syn ? 1 : 0);
    silence_.fromCaller(now, record, summary, flow.protocol == Protocol::Tcp || context_.service->request_kind());
    ++context_.counters.delivered;
    context_.actions.emplace_back(DeliverPacket {flow, record.number, std::move(packet)});
}

void OwnedFlows::deliver(Timestamp now, FlowRecord &record, std::string &&packet)
{
    const bool isTcp = record.flow.protocol == Protocol::Tcp;
    // TCP handles duplicates end to end; a duplicate of a UDP request would run it twice.
    const bool isRequest = context_.service && context_.service->request_kind();
    if (!isTcp && isRequest && context_.isAtMostOnce() && isDuplicate(now, record, packet)) {
        ++context_.counters.droppedDuplicates;
        return;
    }
    const PacketSummary summary = summarizePacket(record.flow.protocol, packet);
    record.lastFromCaller = now;
    context_.flows.touch(record);
    if (isTcp) {
        record.callerSequence =
            summary.sequence + static_cast<std::uint32_t>(summary.payloadSize) + (summary.fin ? 1 : 0);
        record.callerAcknowledgement = summary.acknowledgement;
        if (record.halfOpen && summary.ack && !summary.syn) {
            markEstablished(record);
        }
        record.finFromCaller = record.finFromCaller || summary.fin;
        trackClosing(now, record);
    } else if (isRequest) {
        setActive(now, record, true);
    }
    const bool expectsAnswer = isTcp ? summary.expectsAnswer() : record.answered || isRequest;
    silence_.fromCaller(now, record, summary, expectsAnswer);
    ++context_.counters.delivered;
    context_.actions.emplace_back(DeliverPacket {record.flow, record.number, std::move(packet)});
    if (summary.reset) {
        end(now, record, false);
    }
}

void OwnedFlows::handleFromTarget(Timestamp now, FlowRecord &record, std::string &&packet)
{
    const bool isTcp = record.flow.protocol == Protocol::Tcp;
    const PacketSummary summary = isTcp ? summarizePacket(record.flow.protocol, packet) : PacketSummary();
    record.lastFromTarget = now;
    record.answered = true;
    record.finFromTarget = record.finFromTarget || summary.fin;
    context_.flows.touch(record);
    trackClosing(now, record);
    silence_.fromTarget(now, record, summary);
    context_.actions.emplace_back(SendToCaller {std::move(packet)});
    if (!isTcp || summary.fin) {
        setActive(now, record, false);
    }
    if (summary.reset) {
        end(now, record, false);
    }
}

bool OwnedFlows::describe(const FlowTuple &flow, std::uint64_t fingerprint, wire::QueryAnswer &answer)
{
    if (const FlowRecord *record = context_.flows.find(flow)) {
        answer.set_known(true);
        *answer.mutable_fact() = factOf(flow, record->number.value(), record->fingerprint);
        return true;
    }
    const EndedFlow *ended = context_.ended.find(flow, fingerprint);
    if (ended == nullptr || ended->owner != context_.selfKey()) {
        return false;
    }
    answer.set_known(true);
    *answer.mutable_fact() = factOf(flow, ended->number, fingerprint);
    answer.mutable_fact()->set_ended(true);
    return true;
}

void OwnedFlows::cancel(Timestamp now, const FlowTuple &flow, const MemberKey &home, std::uint64_t attempt)
{
    placementLog_.record(now, flow, home, attempt, PlacementLog::Stage::Final);
}

void OwnedFlows::end(Timestamp now, FlowRecord &record, bool notifyCaller)
{
    const FlowTuple flow = record.flow;
    const std::uint64_t number = record.number.value();
    if (notifyCaller) {
        ++context_.counters.unknown;
        PacketInfo info;
        info.flow = flow;
        info.ack = true;
        info.sequence = record.callerSequence;
        info.acknowledgement = record.callerAcknowledgement;
        const std::string quoted = flow.protocol == Protocol::Udp ? buildUdpRequest(flow, "") : std::string();
        context_.actions.emplace_back(SendToCaller {buildRefusal(quoted, info, Refusal::Unknown)});
    }
    setActive(now, record, false);
    markEstablished(record);
    context_.actions.emplace_back(CloseFlow {flow, record.number});
    std::vector<std::uint64_t> fingerprints = {record.fingerprint};
    for (const RecentPacket &packet : record.recentPackets) {
        fingerprints.push_back(packet.fingerprint);
    }
    for (const std::uint64_t fingerprint : fingerprints) {
        context_.ended.add(now, EndedFlow {flow, fingerprint, context_.selfKey(), number, now, std::nullopt});
        recentlyEnded_.emplace_back(flow, fingerprint);
    }
    context_.flows.erase(flow);
    sendEnd(flow, context_.id(), number);
    const std::optional<TargetId> home = context_.group.homeOf(flowHashOf(flow));
    if (home && *home != context_.id()) {
        sendEnd(flow, *home, number);
    }
}

void OwnedFlows::denyOwnership(const FlowTuple &flow)
{
    const std::optional<TargetId> home = context_.group.homeOf(flowHashOf(flow));
    if (home && *home != context_.id()) {
        sendEnd(flow, *home, context_.flows.lastNumber().value());
    }
}

void OwnedFlows::endAll(Timestamp now)
{
    while (FlowRecord *record = context_.flows.oldest()) {
        ++context_.counters.endedByDrain;
        end(now, *record, true);
    }
}

void OwnedFlows::collect(Timestamp now, Registrations &registrations, bool reregister)
{
    const auto homeKeyOf = [&](const FlowTuple &flow) -> std::optional<MemberKey> {
        const std::optional<TargetId> home = context_.group.homeOf(flowHashOf(flow));
        return home ? context_.memberKey(*home) : std::nullopt;
    };
    context_.flows.forEach([&](FlowRecord &record) {
        if (reregister) {
            record.registeredHome.reset();
        }
        const std::optional<MemberKey> home = homeKeyOf(record.flow);
        if (!home || record.registeredHome == home) {
            return;
        }
        if (*home == context_.selfKey()) {
            record.registeredHome = home;
        } else {
            registrations.add(*home, factOf(record.flow, record.number.value(), record.fingerprint));
        }
    });
    context_.ended.forEach([&](EndedFlow &ended) {
        const std::optional<MemberKey> home = homeKeyOf(ended.flow);
        if (!home || *home == context_.selfKey() || ended.registeredHome == home) {
            return;
        }
        wire::Registration fact = factOf(ended.flow, ended.number, ended.fingerprint);
        fact.set_owner(ended.owner.target.value());
        fact.set_owner_incarnation(ended.owner.incarnation);
        fact.set_ended(true);
        registrations.add(*home, std::move(fact));
    });
    recentlyEnded_.clear();
}

void OwnedFlows::collectRecent(Timestamp now, Registrations &registrations)
{
    for (const auto &[flow, fingerprint] : recentlyEnded_) {
        const std::optional<TargetId> home = context_.group.homeOf(flowHashOf(flow));
        const std::optional<MemberKey> key = home ? context_.memberKey(*home) : std::nullopt;
        const EndedFlow *ended = context_.ended.find(flow, fingerprint);
        if (ended == nullptr || !key || *key == context_.selfKey()) {
            continue;
        }
        wire::Registration fact = factOf(flow, ended->number, fingerprint);
        fact.set_ended(true);
        registrations.add(*key, std::move(fact));
    }
    recentlyEnded_.clear();
}

void OwnedFlows::markRegistered(const wire::Registration &fact, const MemberKey &home)
{
    const FlowTuple flow = fromWire(fact.flow());
    if (fact.ended()) {
        if (EndedFlow *ended = context_.ended.find(flow, fact.fingerprint())) {
            ended->registeredHome = home;
        }
        return;
    }
    FlowRecord *record = context_.flows.find(flow);
    if (record != nullptr && record->number.value() == fact.flow_number()) {
        record->registeredHome = home;
    }
}

void OwnedFlows::tick(Timestamp now)
{
    placementLog_.expire(now);
    context_.ended.expire(now);
    if (context_.service && context_.service->silence_timeout_ms() > 0) {
        const Milliseconds timeout(static_cast<std::int64_t>(context_.service->silence_timeout_ms()));
        while (FlowRecord *record = silence_.findSilent(now, timeout)) {
            ++context_.counters.silent;
            end(now, *record, true);
        }
    }
    const Milliseconds idle = context_.service && context_.service->idle_timeout_ms() > 0
        ? Milliseconds(static_cast<std::int64_t>(context_.service->idle_timeout_ms()))
        : DefaultIdleTimeout;
    while (FlowRecord *record = context_.flows.oldest()) {
        const Timestamp last = std::max(record->lastFromCaller, record->lastFromTarget);
        if (now - last < idle) {
            break;
        }
        end(now, *record, false);
    }
    while (!closing_.empty() && now - closing_.front().first >= ClosedLinger) {
        const auto [flow, number] = closing_.front().second;
        closing_.pop_front();
        FlowRecord *record = context_.flows.find(flow);
        if (record != nullptr && record->number == number) {
            end(now, *record, false);
        }
    }
}

bool OwnedFlows::isDuplicate(Timestamp now, FlowRecord &record, const std::string &packet) const
{
    const std::uint64_t fingerprint = fingerprintOf(record.flow.protocol, packet);
    std::vector<RecentPacket> &recent = record.recentPackets;
    // Duplicates do not arrive after the packet lifetime; equal bytes after that were sent anew by the caller.
    const auto isOld = [now](const RecentPacket &known) { return now - known.delivered >= PacketLifetime; };
    recent.erase(std::remove_if(recent.begin(), recent.end(), isOld), recent.end());
    const bool isOpening = fingerprint == record.fingerprint && now - record.opened < PacketLifetime;
    const auto isSame = [fingerprint](const RecentPacket &known) { return known.fingerprint == fingerprint; };
    if (isOpening || std::any_of(recent.begin(), recent.end(), isSame)) {
        return true;
    }
    if (recent.size() >= RecentPackets) {
        recent.erase(recent.begin());
    }
    recent.push_back(RecentPacket {fingerprint, now});
    return false;
}

void OwnedFlows::trackClosing(Timestamp now, FlowRecord &record)
{
    if (record.finFromCaller && record.finFromTarget && !record.closing) {
        record.closing = true;
        closing_.emplace_back(now, std::make_pair(record.flow, record.number));
    }
}

void OwnedFlows::sendResult(const wire::Place &place, bool accepted, std::uint64_t number)
{
    wire::Envelope envelope;
    wire::PlaceResult *result = envelope.mutable_place_result();
    *result->mutable_flow() = place.forward().flow();
    result->set_service(place.forward().service());
    result->set_attempt(place.attempt());
    result->set_accepted(accepted);
    if (accepted) {
        result->set_owner(context_.id().value());
        result->set_owner_incarnation(context_.group.self().incarnation());
        result->set_flow_number(number);
    }
    context_.sendTo(TargetId(place.home()), std::move(envelope));
}

void OwnedFlows::sendEnd(const FlowTuple &flow, TargetId home, std::uint64_t number)
{
    wire::Envelope envelope;
    *envelope.mutable_flow_end()->mutable_flow() = toWire(flow);
    envelope.mutable_flow_end()->set_service(context_.group.self().service());
    envelope.mutable_flow_end()->set_owner(context_.id().value());
    envelope.mutable_flow_end()->set_flow_number(number);
    context_.sendTo(home, std::move(envelope));
}

void OwnedFlows::setActive(Timestamp now, FlowRecord &record, bool active)
{
    if (record.active == active) {
        return;
    }
    record.active = active;
    context_.activeFlows += active ? 1 : -1;
    if (!active && record.answered) {
        context_.placement.requestCompleted();
    }
    context_.placement.setActiveFlows(now, context_.activeFlows);
}

void OwnedFlows::markEstablished(FlowRecord &record)
{
    if (record.halfOpen) {
        record.halfOpen = false;
        halfOpen_.close(record.flow.callerAddress);
    }
}

wire::Registration OwnedFlows::factOf(const FlowTuple &flow, std::uint64_t number, std::uint64_t fingerprint) const
{
    wire::Registration fact;
    *fact.mutable_flow() = toWire(flow);
    fact.set_owner(context_.id().value());
    fact.set_owner_incarnation(context_.group.self().incarnation());
    fact.set_flow_number(number);
    fact.set_fingerprint(fingerprint);
    return fact;
}

} // namespace rhubarblane
