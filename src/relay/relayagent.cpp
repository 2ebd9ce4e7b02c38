#include "relay/relayagent.h"

#include "base/hash.h"
#include "relay/handon.h"

#include <algorithm>
#include <utility>

namespace rhubarblane
{

namespace
{

// One report notifies the balancers of the shutdown; packets in flight arrive within a round trip.
constexpr Milliseconds MinimumLeaveDuration(300);
// Half of the 6 s after which the platform kills a process that it has requested to stop.
constexpr Milliseconds MaximumLeaveDuration(3000);
// The retention periods need no finer resolution.
constexpr Milliseconds SweepInterval(1000);
// Highest sequence number in the first report of a target that has just started.
constexpr std::uint64_t FirstReportSequence = 1;
// Highest age of a target, in percent of the report interval, that proves that its first report is unanswered; reports
// are sent about, not exactly, once per interval.
constexpr std::int64_t FirstReportAgePercent = 75;
// Time until the next report of a target, in percent of the report interval: it reports about once per interval.
constexpr std::int64_t NextReportPercent = 125;

constexpr std::uint32_t ModeBits = 2;
constexpr std::uint32_t ModeMask = (1U << ModeBits) - 1;
constexpr std::size_t MaximumTaggedBalancers = 1U << 20;

std::uint32_t valueOf(ForwardMode mode)
{
    return static_cast<std::uint32_t>(mode);
}

} // namespace

RelayAgent::RelayAgent(RelayAgentSettings settings, Timestamp now, const PacketFormat &format, RelayOutput &output)
    : settings_(std::move(settings))
    , started_(now)
    , format_(format)
    , output_(output)
    , peers_(settings_.self, settings_.seeds, output)
    , zone_(settings_.self.availabilityZone, output)
    , target_(settings_.reportInterval, now)
    , flows_(counters_)
    , group_(groupIdOf(settings_.group))
    , listId_(hashPair(settings_.self.id().value(), settings_.self.incarnation))
    , uncertainSince_(now)
{
}

void RelayAgent::onPeerMessage(Timestamp now, const PeerAddress &from, const wire::relay::Message &message)
{
    target_.advance(now);
    if (message.has_forward()) {
        handleForward(now, from, message.forward());
    } else if (message.has_flow_query()) {
        handleFlowQuery(now, from, message.flow_query());
    } else if (message.has_flow_list_request()) {
        handleFlowListRequest(now, from, message.flow_list_request());
    } else if (message.has_hello()) {
        handleHello(now, from, message.hello());
    } else {
        ++counters_.malformed;
    }
}

void RelayAgent::handleHello(Timestamp now, const PeerAddress &from, const wire::relay::Hello &hello)
{
    const std::optional<Peer> peer = peerFromWire(hello.sender());
    if (!peer || peer->address != from) {
        ++counters_.malformed;
        return;
    }
    const Peer &sender = *peer;
    if (hello.leaving()) {
        // The balancer may be restarted while no other process knows this agent, so it gets reports until it expires.
        return;
    }
    if (sender.role == PeerRole::Balancer && peers_.recordContact(now, sender)) {
        peers_.sendReportTo(sender, makeReport(now));
    }
    if (hello.has_evacuations()) {
        const std::optional<EvacuatedZones> evacuations = evacuationsFromWire(hello.evacuations());
        counters_.malformed += evacuations ? 0 : 1;
        if (evacuations && zone_.apply(now, *evacuations, sender.name)) {
            if (!zone_.isEvacuated()) {
                // The target may have become cold without load; its next report says so.
                coldStart_.assumeCold(now, Milliseconds(settings_.reportInterval.count() * NextReportPercent / 100));
            }
            peers_.requestReport(now);
        }
    }
    for (const wire::relay::Peer &listed : hello.peers()) {
        if (const std::optional<Peer> other = peerFromWire(listed)) {
            peers_.recordMention(now, *other);
        } else {
            ++counters_.malformed;
        }
    }
}

void RelayAgent::handleForward(Timestamp now, const PeerAddress &from, const wire::relay::Forward &forward)
{
    const std::optional<RelayPacket> head = format_.decode(forward.packet(), PacketOrigin::Caller);
    if (!head || head->returned || forward.mode() > valueOf(ForwardMode::Search)) {
        ++counters_.malformed;
        return;
    }
    const bool search = forward.mode() == valueOf(ForwardMode::Search);
    if (GroupId(forward.group()) != group_) {
        ++counters_.returnedWrongGroup;
        if (!search) {
            returnPacket(now, HandOn::balancerOf(forward, from), ReturnReason::WrongGroup, forward.packet());
        }
        return;
    }
    if (forward.mode() == valueOf(ForwardMode::Open)) {
        handleOpen(now, HandOn::balancerOf(forward, from), forward, *head);
        return;
    }
    if (search) {
        handleSearch(now, from, forward, *head);
        return;
    }
    const AgentFlow *flow = flows_.find(head->flow);
    if (isTargetGone(now)) {
        ++counters_.returnedNotHeld;
        discardEndedFlow(now, head->flow);
        returnPacket(now, from, ReturnReason::NotHeld, forward.packet());
        return;
    }
    if (flow == nullptr) {
        probe(now, head->flow);
    }
    if (!holdPacket(now, from, forward, *head)) {
        deliver(now, from, forward.packet(), *head, forward.mode());
    }
}

void RelayAgent::handleOpen(Timestamp now,
                            const PeerAddress &balancer,
                            const wire::relay::Forward &forward,
                            const RelayPacket &head)
{
    const AgentFlow *known = flows_.find(head.flow);
    const bool repeated = known != nullptr && known->openingSequence == head.sequence;
    // If the target has not answered, it may not have got the packet, and may take the flow only now.
    const bool answered = repeated && known->open && !known->unconfirmed;
    if (repeated && !answered && !coldStart_.mayOpen(now, forward.cold_limit())) {
        ++counters_.returnedCold;
        returnPacket(now, balancer, ReturnReason::Cold, forward.packet());
        return;
    }
    if (repeated) {
        // A retransmission of an accepted opening packet; the target answers it again.
        if (!answered) {
            coldStart_.noteOpening(now);
        }
        deliver(now, balancer, forward.packet(), head, valueOf(ForwardMode::Open));
        return;
    }
    if (zone_.isEvacuated()) {
        // The balancer that placed the flow does not know the evacuation yet.
        peers_.sendEvacuations(balancer, zone_.evacuations().state());
        decline(now, balancer, forward, ReturnReason::Evacuated, counters_.returnedEvacuated);
        return;
    }
    const TargetState current = state(now);
    if (current != TargetState::Ready && current != TargetState::Ejected) {
        decline(now, balancer, forward, ReturnReason::NotReady, counters_.returnedNotReady);
        return;
    }
    // Less urgent requests that are held or on the way begin after those of an urgent flow.
    const std::uint32_t opening = forward.less_urgent()
        ? flows_.expectedRequests(now) + static_cast<std::uint32_t>(gate_.inTime())
        : flows_.expectedUrgentRequests(now);
    const Milliseconds wait = flows_.meter().expectedWait(opening);
    const std::uint32_t requests = flows_.meter().busy() + opening;
    // Balancers offer flows to an ejected target only if too many others are ejected as well.
    const bool trialTaken = flows_.outliers().isOnTrial(now) && requests > 0;
    const bool queueFull = requests >= flows_.meter().slots() + QueueLimit;
    if (trialTaken || queueFull || wait > HandOn::acceptedWait(forward)) {
        decline(now, balancer, forward, ReturnReason::Busy, counters_.returnedBusy);
        return;
    }
    if (!coldStart_.mayOpen(now, forward.cold_limit())) {
        decline(now, balancer, forward, ReturnReason::Cold, counters_.returnedCold);
        return;
    }
    if (known != nullptr && known->openingSequence) {
        // The caller uses the port of an earlier flow again.
        dropHeldOf(now, head.flow, "portReused");
        flows_.discard(now, head.flow);
    }
    flows_.touch(now, head.flow).lessUrgent = forward.less_urgent();
    flows_.expectRequest(now, head.flow);
    coldStart_.noteOpening(now);
    target_.noteOpeningPacketSent(now);
    deliver(now, balancer, forward.packet(), head, valueOf(ForwardMode::Open));
}

void RelayAgent::decline(Timestamp now,
                         const PeerAddress &balancer,
                         const wire::relay::Forward &forward,
                         ReturnReason reason,
                         std::uint64_t &returned)
{
    wire::relay::Message message;
    *message.mutable_forward() = forward;
    if (const std::optional<PeerAddress> next = HandOn::takeNext(*message.mutable_forward(), balancer)) {
        ++counters_.handedOn;
        output_.sendToPeer(*next, message);
        return;
    }
    ++returned;
    returnPacket(now, balancer, reason, forward.packet());
}

void RelayAgent::deliver(
    Timestamp now, const PeerAddress &from, std::string packet, const RelayPacket &head, std::uint32_t mode)
{
    ++counters_.packetsIn;
    const bool known = flows_.find(head.flow) != nullptr;
    if (known || mode == valueOf(ForwardMode::Open)) {
        AgentFlow &flow = flows_.touch(now, head.flow);
        flow.balancer = from;
        if (mode == valueOf(ForwardMode::Open)) {
            flow.openingSequence = head.sequence;
        }
        if (!flow.probed) {
            const bool pending = flow.requestPending;
            flows_.noteCallerPacket(now, flow, head);
            if (!pending && flow.requestPending && !flow.lessUrgent && gate_.size() > 0) {
                ++counters_.urgentStartsAhead;
                gate_.noteUrgentStart();
            }
        }
    }
    format_.setTag(packet, tagFor(from, mode));
    output_.sendToTarget(std::move(packet));
}

void RelayAgent::onTargetPacket(Timestamp now, std::string_view packet)
{
    target_.advance(now);
    const std::optional<RelayPacket> head = format_.decode(packet, PacketOrigin::Target);
    if (!head) {
        ++counters_.malformed;
        return;
    }
    // The VM of a target that does not listen resets every packet.
    if (!head->reset || head->returned) {
        target_.noteResponse(now);
    }
    if (head->returned) {
        handleReturned(now, std::string(packet), *head);
    } else {
        handleAnswer(now, std::string(packet), *head);
    }
    startHeld(now);
}

void RelayAgent::handleReturned(Timestamp now, std::string packet, const RelayPacket &head)
{
    const std::uint32_t mode = head.tag & ModeMask;
    const std::size_t index = head.tag >> ModeBits;
    AgentFlow *flow = flows_.find(head.flow);
    const bool ended = flow != nullptr && flow->closed();
    if (flow != nullptr && !ended) {
        flows_.discard(now, head.flow);
        passHeldOf(now, head.flow, "notHeld");
    }
    if (ended || head.reset) {
        return;
    }
    if (mode == valueOf(ForwardMode::Search)) {
        if (index < taggedBalancers_.size()) {
            answerFlow(now, taggedBalancers_[index], head.flow, FlowPresence::Absent);
        }
        return;
    }
    if (index >= taggedBalancers_.size()) {
        ++counters_.malformed;
        return;
    }
    format_.restore(packet);
    const bool opening = mode == valueOf(ForwardMode::Open);
    ++(opening ? counters_.returnedFull : counters_.returnedNotHeld);
    returnPacket(now, taggedBalancers_[index], opening ? ReturnReason::Full : ReturnReason::NotHeld, std::move(packet));
}

void RelayAgent::handleAnswer(Timestamp now, std::string packet, const RelayPacket &head)
{
    if (isResetOfUnknownFlow(head)) {
        // The flow may be open at another target.
        const AgentFlow *known = flows_.find(head.flow);
        ++counters_.resetsDropped;
        output_.logDecision("resetDropped", {{"flow", formatFlowTuple(head.flow)}, {"state", nameOf(state(now))}});
        if (known != nullptr && known->balancer.port != 0) {
            answerFlow(now, known->balancer, head.flow, FlowPresence::Absent);
        }
        flows_.discard(now, head.flow);
        return;
    }
    ++counters_.packetsOut;
    AgentFlow &flow = flows_.touch(now, head.flow);
    const bool unconfirmed = std::exchange(flow.unconfirmed, false);
    if (!flow.open || unconfirmed) {
        const bool probed = std::exchange(flow.probed, false);
        flow.open = true;
        if (head.opening) {
            ++counters_.flowsOpened;
        }
        if (flow.balancer.port != 0) {
            const bool held = probed || (unconfirmed && !head.opening);
            answerFlow(now, flow.balancer, head.flow, held ? FlowPresence::Held : FlowPresence::Opened);
        }
    }
    const std::uint64_t ejections = flows_.outliers().ejections();
    flows_.noteTargetPacket(now, flow, head);
    if (flows_.outliers().ejections() > ejections) {
        output_.logDecision("targetEjected",
                            {{"target", target_.target()},
                             {"flow", formatFlowTuple(head.flow)},
                             {"consecutiveFailures", std::to_string(flows_.outliers().consecutiveFailures())},
                             {"ejectionMs", std::to_string(flows_.outliers().timeLeft(now).count())}});
        peers_.requestReport(now);
    }
    if (head.closing || head.reset) {
        passHeldOf(now, head.flow, "targetClosed");
    }
    output_.sendToCaller(head.flow.callerAddress, std::move(packet));
}

bool RelayAgent::isResetOfUnknownFlow(const RelayPacket &head)
{
    const AgentFlow *flow = flows_.find(head.flow);
    return head.reset && !head.returned && (flow == nullptr || flow->probed);
}

void RelayAgent::returnPacket(Timestamp now, const PeerAddress &to, ReturnReason reason, std::string packet)
{
    wire::relay::Message message;
    wire::relay::Returned *returned = message.mutable_returned();
    returned->set_reason(static_cast<std::uint32_t>(reason));
    fillLoad(now, *returned->mutable_load());
    returned->set_packet(std::move(packet));
    output_.sendToPeer(to, message);
}

bool RelayAgent::onTargetReport(Timestamp now, const TargetReport &report)
{
    target_.advance(now);
    const TargetStatus::Change change = target_.report(now, report);
    const bool unconfirmed = change == TargetStatus::Change::Unconfirmed;
    if (unconfirmed || change == TargetStatus::Change::Outdated) {
        ++(unconfirmed ? counters_.reportsUnconfirmed : counters_.reportsOutdated);
        const TargetReport &last = target_.lastReport();
        output_.logDecision(unconfirmed ? "targetReportUnconfirmed" : "targetReportOutdated",
                            {{"target", report.target},
                             {"started", std::to_string(report.started)},
                             {"sequence", std::to_string(report.sequence)},
                             {"draining", report.draining ? "true" : "false"},
                             {"lastTarget", last.target},
                             {"lastStarted", std::to_string(last.started)},
                             {"lastSequence", std::to_string(last.sequence)},
                             {"lastAgeMs", std::to_string(target_.reportAge(now).value_or(Milliseconds(-1)).count())}});
        return !unconfirmed;
    }
    flows_.setSlots(report.slots);
    if (change == TargetStatus::Change::NewStart) {
        const bool firstReport = isFirstReport(now, report);
        if (target_.startCount() > 1 || firstReport) {
            uncertainSince_.reset();
        }
        // A target that reported before this agent started still holds the flows whose packets it has sent.
        const bool keepsFlows = target_.startCount() == 1 && !firstReport;
        flows_.handleTargetRestart(now, keepsFlows);
        if (keepsFlows) {
            coldStart_.assumeFull(now);
        }
        passAllHeld(now, "targetStarted");
    }
    noteColdness(now, report);
    if (change != TargetStatus::Change::None) {
        output_.logDecision("targetState",
                            {{"target", report.target},
                             {"state", nameOf(state(now))},
                             {"started", std::to_string(report.started)},
                             {"sequence", std::to_string(report.sequence)}});
        peers_.requestReport(now);
    }
    return true;
}

bool RelayAgent::isFirstReport(Timestamp now, const TargetReport &report) const
{
    if (report.sequence <= FirstReportSequence) {
        return true;
    }
    // After a power failure the target tries to report until its agent has started. A target repeats an unanswered
    // report soon, but sends the next one a report interval after an answer, so a younger target had none before. The
    // clock is read at the start of the agent only, since it may be set at any time.
    const std::int64_t agentStarted = static_cast<std::int64_t>(settings_.self.incarnation);
    const Milliseconds age = Milliseconds(agentStarted - report.started) + (now - started_);
    return age >= Milliseconds(0) && age < Milliseconds(settings_.reportInterval.count() * FirstReportAgePercent / 100);
}

void RelayAgent::noteColdness(Timestamp now, const TargetReport &report)
{
    if (report.coldFor) {
        coldStart_.noteReport(now, *report.coldFor);
    } else if (!std::exchange(loggedUnknownColdness_, true)) {
        output_.logDecision("targetColdUnknown",
                            {{"target", report.target}, {"sequence", std::to_string(report.sequence)}});
    }
    logColdness(now);
}

void RelayAgent::logColdness(Timestamp now)
{
    const bool cold = coldStart_.isCold(now);
    if (cold == std::exchange(loggedCold_, cold)) {
        return;
    }
    output_.logDecision(cold ? "targetCold" : "targetWarm",
                        {{"target", target_.target()},
                         {"coldForMs", std::to_string(coldStart_.coldLeft(now).count())},
                         {"limit", std::to_string(coldStart_.limit())},
                         {"openings", std::to_string(coldStart_.openings(now))},
                         {"returnedCold", std::to_string(counters_.returnedCold)}});
    peers_.requestReport(now);
}

void RelayAgent::onTargetLeft(Timestamp now, const std::string &target)
{
    const bool current = target_.noteLeave(now, target);
    const TargetReport &last = target_.lastReport();
    output_.logDecision("targetLeft",
                        {{"target", target},
                         {"lastTarget", last.target},
                         {"lastStarted", std::to_string(last.started)},
                         {"lastSequence", std::to_string(last.sequence)},
                         {"draining", last.draining ? "true" : "false"},
                         {"lastAgeMs", std::to_string(target_.reportAge(now).value_or(Milliseconds(-1)).count())},
                         {"outcome", current ? "announced" : "ignored"}});
    if (current) {
        // If the target has ended, its VM resets these flows.
        passAllHeld(now, "targetLeft");
    }
    peers_.requestReport(now);
}

void RelayAgent::onStorePeers(Timestamp now, const std::vector<Peer> &peers)
{
    for (const Peer &peer : peers) {
        peers_.recordStoreEntry(now, peer);
    }
}

void RelayAgent::onTick(Timestamp now)
{
    target_.advance(now);
    const TargetState current = state(now);
    if (current != reportedState_) {
        output_.logDecision(
            "targetStateReported",
            {{"target", target_.target()},
             {"state", nameOf(current)},
             {"reportAgeMs", std::to_string(target_.reportAge(now).value_or(Milliseconds(-1)).count())}});
        reportedState_ = current;
        peers_.requestReport(now);
    }
    logColdness(now);
    serveHeld(now);
    if (peers_.isReportDue(now)) {
        peers_.sendReport(now, makeReport(now));
    }
    if (now >= nextSweep_) {
        nextSweep_ = now + SweepInterval;
        flows_.sweep(now);
    }
    peers_.expire(now);
}

wire::relay::Report RelayAgent::makeReport(Timestamp now)
{
    wire::relay::Report report;
    *report.mutable_agent() = toWire(settings_.self);
    report.set_group(settings_.group);
    fillLoad(now, *report.mutable_load());
    return report;
}

void RelayAgent::fillLoad(Timestamp now, wire::relay::Load &load)
{
    load.set_sequence(++loadSequence_);
    load.set_slots(flows_.meter().slots());
    load.set_busy(flows_.meter().busy() + static_cast<std::uint32_t>(gate_.inTime()));
    load.set_opening(flows_.expectedRequests(now));
    load.set_open_flows(static_cast<std::uint32_t>(flows_.size()));
    load.set_service_time_us(static_cast<std::uint32_t>(flows_.meter().serviceTimeMs() * 1000.0));
    load.set_utilization(static_cast<std::uint32_t>(flows_.meter().utilization(now) * 1000.0));
    load.set_state(static_cast<std::uint32_t>(state(now)));
    load.set_cold_for_ms(static_cast<std::uint32_t>(coldStart_.coldLeft(now).count()));
    if (const std::optional<std::uint32_t> left = coldStart_.openingsLeft(now)) {
        load.set_cold_openings_left(*left + 1);
    }
}

bool RelayAgent::isTargetGone(Timestamp now) const
{
    // state() is not usable here: while the agent shuts down, it hides whether the target has ended.
    return target_.state(now) == TargetState::Gone || (leaving_ && target_.isFirstReportOverdue(now));
}

std::uint32_t RelayAgent::tagFor(const PeerAddress &balancer, std::uint32_t mode)
{
    auto position = std::find(taggedBalancers_.begin(), taggedBalancers_.end(), balancer);
    if (position == taggedBalancers_.end()) {
        if (taggedBalancers_.size() >= MaximumTaggedBalancers) {
            taggedBalancers_.clear();
        }
        position = taggedBalancers_.insert(taggedBalancers_.end(), balancer);
    }
    return static_cast<std::uint32_t>(position - taggedBalancers_.begin()) << ModeBits | mode;
}

void RelayAgent::beginLeave(Timestamp now)
{
    if (!leaving_) {
        leaving_ = now;
        peers_.requestReport(now);
        output_.logDecision("agentLeaving", {{"busy", std::to_string(flows_.meter().busy())}});
        passAllHeld(now, "agentLeaving");
    }
}

void RelayAgent::finishLeave(Timestamp now)
{
    peers_.announceLeave(isTargetGone(now));
}

bool RelayAgent::mayExit(Timestamp now) const
{
    if (!leaving_) {
        return false;
    }
    const Milliseconds waited = now - *leaving_;
    // Whether the target has ended decides what the balancers are told.
    const bool done = flows_.meter().busy() == 0 && !target_.isLeaveUnconfirmed(now);
    return waited >= MaximumLeaveDuration || (waited >= MinimumLeaveDuration && done);
}

TargetState RelayAgent::state(Timestamp now) const
{
    if (leaving_) {
        return TargetState::AgentLeaving;
    }
    const TargetState reported = target_.state(now);
    return reported == TargetState::Ready && flows_.outliers().isEjected(now) ? TargetState::Ejected : reported;
}

} // namespace rhubarblane
