#include "relay/relayagent.h"

#include "relay/relayflow.h"
#include "relay/reportinterval.h"

#include <algorithm>
#include <utility>

namespace rhubarblane
{

namespace
{

// With more balancers the interval of reports grows so that an agent sends at most this many a second: at 61 agents, a
// balancer with 0.028 of a core spends a tenth of it on reports.
constexpr std::int64_t ReportsPerSecond = 40;
// As often as a lost first contact should delay a start without the store.
constexpr Milliseconds SeedContactInterval(1000);
// The caller's request follows its SYN by one way to the caller and back, 6 ms in the reference deployments.
constexpr Milliseconds OpeningPeriod(30);
// No flow is older than 60 s and still worth keeping (the platform's bound on flows), nor idle for longer.
constexpr Milliseconds FlowRetention(60000);
// Copies of the last packets of a closed flow arrive within the longest retransmission interval, 1.6 s.
constexpr Milliseconds ClosedRetention(3000);
// A caller gives up after at most 6 s in the reference workloads; a request without an answer for longer is over.
constexpr Milliseconds RequestRetention(6000);
// Balancers learn of the stop by one report; packets on their way arrive within a round trip.
constexpr Milliseconds ShortestLeave(300);
// Half of the 6 s after which the platform kills a process that was told to stop.
constexpr Milliseconds LongestLeave(3000);
// The retention periods need no finer resolution.
constexpr Milliseconds SweepInterval(1000);
// First sequence numbers of a target that started a moment ago.
constexpr std::uint64_t FirstReports = 1;

constexpr std::uint32_t ModeBits = 2;
constexpr std::uint32_t ModeMask = (1U << ModeBits) - 1;
constexpr std::size_t MaximumTaggedBalancers = 1U << 20;

bool isNewer(std::uint32_t sequence, std::uint32_t than)
{
    return static_cast<std::int32_t>(sequence - than) > 0;
}

std::uint32_t valueOf(ForwardMode mode)
{
    return static_cast<std::uint32_t>(mode);
}

} // namespace

RelayAgent::RelayAgent(RelayAgentSettings settings, Timestamp now, const PacketFormat &format, RelayOutput &output)
    : settings_(std::move(settings))
    , format_(format)
    , output_(output)
    , peers_(settings_.self)
    , target_(settings_.reportInterval, now)
    , group_(groupIdOf(settings_.group))
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
    } else if (message.has_hello()) {
        handleHello(now, from, message.hello());
    } else {
        ++counters_.malformed;
    }
}

void RelayAgent::handleHello(Timestamp now, const PeerAddress &from, const wire::relay::Hello &hello)
{
    const Peer sender = fromWire(hello.sender());
    if (sender.address != from || sender.name.empty()) {
        ++counters_.malformed;
        return;
    }
    if (hello.leaving()) {
        peers_.remove(sender.id());
        return;
    }
    if (peers_.find(sender.id()) == nullptr) {
        output_.logDecision("peerFound", {{"peer", sender.name}, {"from", "hello"}});
        nextReport_ = now;
    }
    peers_.hear(now, sender);
    for (const wire::relay::Peer &encoded : hello.peers()) {
        const Peer peer = fromWire(encoded);
        if (peer.role == PeerRole::Balancer) {
            peers_.name(now, peer);
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
            returnPacket(now, from, ReturnReason::WrongGroup, forward.packet());
        }
        return;
    }
    if (forward.mode() == valueOf(ForwardMode::Open)) {
        openHere(now, from, forward, *head);
        return;
    }
    if (search) {
        handleSearch(now, from, forward, *head);
        return;
    }
    const AgentFlow *flow = flows_.find(head->flow);
    const bool ended = flow == nullptr ? isTargetGone(now) : isOfEndedTarget(now, *flow);
    if (ended) {
        ++counters_.returnedNotHeld;
        giveUp(now, head->flow);
        returnPacket(now, from, ReturnReason::NotHeld, forward.packet());
        return;
    }
    if (flow == nullptr) {
        probe(now, head->flow);
    }
    deliver(now, from, forward.packet(), *head, forward.mode());
}

void RelayAgent::probe(Timestamp now, const FlowTuple &tuple)
{
    AgentFlow &flow = flows_.touch(now, tuple);
    flow.probed = true;
    flow.targetStart = target_.starts();
}

void RelayAgent::handleSearch(Timestamp now,
                              const PeerAddress &from,
                              const wire::relay::Forward &forward,
                              const RelayPacket &head)
{
    const FlowPresence presence = presenceOf(now, head.flow);
    if (presence == FlowPresence::Absent) {
        answerFlow(now, from, head.flow, presence);
        return;
    }
    ++counters_.searchesDelivered;
    if (flows_.find(head.flow) == nullptr) {
        probe(now, head.flow);
    } else if (presence == FlowPresence::Held) {
        answerFlow(now, from, head.flow, presence);
    }
    deliver(now, from, forward.packet(), head, valueOf(ForwardMode::Search));
}

void RelayAgent::handleFlowQuery(Timestamp now, const PeerAddress &from, const wire::relay::FlowQuery &query)
{
    const FlowTuple tuple = fromRelayFlow(query.flow());
    const bool ours = GroupId(query.group()) == group_;
    const FlowPresence presence = ours ? presenceOf(now, tuple) : FlowPresence::Absent;
    if (presence == FlowPresence::Held) {
        flows_.touch(now, tuple).balancer = from;
    }
    answerFlow(now, from, tuple, presence);
}

FlowPresence RelayAgent::presenceOf(Timestamp now, const FlowTuple &tuple)
{
    const AgentFlow *flow = flows_.find(tuple);
    const bool absent = flow == nullptr ? !mayHoldUnknownFlows(now) : isOfEndedTarget(now, *flow);
    if (absent) {
        ++counters_.searchesAbsent;
        giveUp(now, tuple);
        return FlowPresence::Absent;
    }
    return flow == nullptr || flow->probed ? FlowPresence::Uncertain : FlowPresence::Held;
}

void RelayAgent::openHere(Timestamp now,
                          const PeerAddress &from,
                          const wire::relay::Forward &forward,
                          const RelayPacket &head)
{
    if (flows_.find(head.flow) != nullptr) {
        // A copy of an opening packet that was taken; the target answers it again.
        deliver(now, from, forward.packet(), head, valueOf(ForwardMode::Open));
        return;
    }
    if (state(now) != TargetState::Ready) {
        ++counters_.returnedNotReady;
        returnPacket(now, from, ReturnReason::NotReady, forward.packet());
        return;
    }
    const std::uint32_t opening = openingFlows(now);
    const Milliseconds wait = meter_.expectedWait(opening);
    const bool queueFull = meter_.busy() + opening >= meter_.slots() + QueueLimit;
    if (queueFull || wait > Milliseconds(forward.accepted_wait_ms())) {
        ++counters_.returnedBusy;
        returnPacket(now, from, ReturnReason::Busy, forward.packet());
        return;
    }
    opening_.emplace_back(head.flow, now);
    target_.askedToOpen(now);
    deliver(now, from, forward.packet(), head, valueOf(ForwardMode::Open));
}

void RelayAgent::deliver(
    Timestamp now, const PeerAddress &from, std::string packet, const RelayPacket &head, std::uint32_t mode)
{
    ++counters_.packetsIn;
    const bool known = flows_.find(head.flow) != nullptr;
    if (known || mode == valueOf(ForwardMode::Open)) {
        AgentFlow &flow = flows_.touch(now, head.flow);
        flow.balancer = from;
        if (!known) {
            flow.targetStart = target_.starts();
        }
        if (!flow.probed) {
            noteCallerPacket(now, flow, head);
        }
    }
    format_.mark(packet, tagFor(from, mode));
    output_.sendToTarget(std::move(packet));
}

void RelayAgent::noteCallerPacket(Timestamp now, AgentFlow &flow, const RelayPacket &head)
{
    flow.callerClosed = flow.callerClosed || head.closing || head.reset;
    if (head.reset) {
        flow.targetClosed = true;
        endRequest(now, flow, false);
        return;
    }
    if (head.payloadBytes == 0) {
        return;
    }
    const std::uint32_t end = head.sequence + head.payloadBytes;
    if (flow.sentRequest && !isNewer(end, flow.callerSequence)) {
        return; // A repeated packet of a request that is known.
    }
    flow.callerSequence = end;
    flow.sentRequest = true;
    if (!flow.requestPending) {
        flow.requestPending = true;
        flow.requestInSlot = meter_.start(now);
    }
    // A request starts its work when its last byte has arrived.
    flow.requestStarted = now;
}

void RelayAgent::onTargetPacket(Timestamp now, std::string_view packet)
{
    target_.advance(now);
    const std::optional<RelayPacket> head = format_.decode(packet, PacketOrigin::Target);
    if (!head) {
        ++counters_.malformed;
        return;
    }
    target_.answered(now);
    if (head->returned) {
        handleReturned(now, std::string(packet), *head);
    } else {
        handleAnswer(now, std::string(packet), *head);
    }
}

void RelayAgent::handleReturned(Timestamp now, std::string packet, const RelayPacket &head)
{
    const std::uint32_t mode = head.tag & ModeMask;
    const std::size_t index = head.tag >> ModeBits;
    AgentFlow *flow = flows_.find(head.flow);
    const bool ended = flow != nullptr && flow->closed();
    if (flow != nullptr && !ended) {
        forget(now, head.flow);
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
    const AgentFlow *known = flows_.find(head.flow);
    if (head.reset && (known == nullptr || known->probed)) {
        // A target that does not listen resets what reaches it; the flow may be open at another target.
        ++counters_.resetsDropped;
        output_.logDecision("resetDropped", {{"flow", formatFlowTuple(head.flow)}, {"state", nameOf(state(now))}});
        if (known != nullptr && known->balancer.port != 0) {
            answerFlow(now, known->balancer, head.flow, FlowPresence::Absent);
        }
        forget(now, head.flow);
        return;
    }
    ++counters_.packetsOut;
    AgentFlow &flow = flows_.touch(now, head.flow);
    if (!flow.open) {
        const bool probed = std::exchange(flow.probed, false);
        flow.open = true;
        flow.targetStart = target_.starts();
        if (head.opening) {
            ++counters_.flowsOpened;
        }
        if (flow.balancer.port != 0) {
            answerFlow(now, flow.balancer, head.flow, probed ? FlowPresence::Held : FlowPresence::Opened);
        }
    }
    if (head.acknowledging && (!flow.sentRequest || isNewer(head.acknowledgement, flow.callerSequence))) {
        // The agent may have started after the caller sent these bytes; later copies of them are no new request.
        flow.callerSequence = head.acknowledgement;
        flow.sentRequest = flow.sentRequest || !head.opening;
    }
    flow.targetClosed = flow.targetClosed || head.closing || head.reset;
    if (head.payloadBytes > 0 || head.reset || head.closing) {
        // The end of a flow can overtake the answer's last bytes.
        endRequest(now, flow, !head.reset);
    }
    if (head.reset) {
        flow.callerClosed = true;
    }
    output_.sendToCaller(head.flow.callerAddress, std::move(packet));
}

void RelayAgent::endRequest(Timestamp now, AgentFlow &flow, bool answered)
{
    if (!flow.requestPending) {
        return;
    }
    flow.requestPending = false;
    if (answered) {
        ++counters_.requestsFinished;
        requestTimes_.add(now - flow.requestStarted);
        meter_.finish(now, flow.requestStarted, flow.requestInSlot);
    } else {
        ++counters_.requestsAbandoned;
        meter_.abandon(now);
    }
}

void RelayAgent::forget(Timestamp now, const FlowTuple &tuple)
{
    if (AgentFlow *flow = flows_.find(tuple)) {
        endRequest(now, *flow, false);
        flows_.erase(tuple);
    }
}

void RelayAgent::giveUp(Timestamp now, const FlowTuple &tuple)
{
    const AgentFlow *flow = flows_.find(tuple);
    if (flow != nullptr && flow->targetStart == target_.starts()) {
        // The target is silent. If it goes on, it still holds the flow.
        uncertainSince_ = now;
    }
    forget(now, tuple);
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

void RelayAgent::answerFlow(Timestamp now, const PeerAddress &balancer, const FlowTuple &tuple, FlowPresence presence)
{
    wire::relay::Message message;
    wire::relay::FlowAnswer *answer = message.mutable_flow_answer();
    *answer->mutable_flow() = toRelayFlow(tuple);
    answer->set_presence(static_cast<std::uint32_t>(presence));
    fillLoad(now, *answer->mutable_load());
    output_.sendToPeer(balancer, message);
}

void RelayAgent::onTargetReport(Timestamp now, const TargetReport &report)
{
    target_.advance(now);
    const TargetStatus::Change change = target_.report(now, report);
    if (change == TargetStatus::Change::Outdated) {
        ++counters_.reportsOutdated;
        output_.logDecision("targetReportOutdated",
                            {{"target", report.target}, {"sequence", std::to_string(report.sequence)}});
        return;
    }
    meter_.setSlots(report.slots);
    if (change == TargetStatus::Change::NewStart) {
        if (target_.starts() > 1 || report.sequence <= FirstReports) {
            uncertainSince_.reset();
        }
        meter_.clear(now);
        // A target that reported before this agent started still holds the flows of which it sent packets.
        const bool heldBefore = target_.starts() == 1 && report.sequence > FirstReports;
        flows_.forEach([&](AgentFlow &flow) {
            flow.requestPending = false;
            flow.targetStart = heldBefore ? target_.starts() : flow.targetStart;
        });
    }
    if (change != TargetStatus::Change::None) {
        output_.logDecision("targetState",
                            {{"target", report.target},
                             {"state", nameOf(state(now))},
                             {"started", std::to_string(report.started)},
                             {"sequence", std::to_string(report.sequence)}});
        nextReport_ = now;
    }
}

void RelayAgent::onTargetLeft(Timestamp now, const std::string &target)
{
    const bool current = target_.leave(target);
    output_.logDecision("targetLeft", {{"target", target}, {"outcome", current ? "gone" : "ignored"}});
    nextReport_ = now;
}

void RelayAgent::onPeersNamed(Timestamp now, const std::vector<Peer> &peers)
{
    for (const Peer &peer : peers) {
        if (peer.role != PeerRole::Balancer) {
            continue;
        }
        if (peers_.find(peer.id()) == nullptr && peer.name != settings_.self.name) {
            output_.logDecision("peerFound", {{"peer", peer.name}, {"from", "store"}});
            nextReport_ = now;
        }
        peers_.name(now, peer);
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
        nextReport_ = now;
    }
    if (now >= nextReport_) {
        sendReports(now);
    }
    if (now >= nextSweep_) {
        nextSweep_ = now + SweepInterval;
        sweepFlows(now);
    }
    for (const Peer &peer : peers_.expire(now)) {
        output_.logDecision("peerForgotten", {{"peer", peer.name}});
    }
}

void RelayAgent::sweepFlows(Timestamp now)
{
    flows_.expire(now, FlowRetention, [this, now](AgentFlow &flow) { endRequest(now, flow, false); });
    std::vector<FlowTuple> ended;
    flows_.forEach([&](AgentFlow &flow) {
        if (flow.requestPending && now - flow.lastActive > RequestRetention) {
            endRequest(now, flow, false);
        }
        if (flow.closed() && now - flow.lastActive > ClosedRetention) {
            ended.push_back(flow.tuple);
        }
    });
    for (const FlowTuple &tuple : ended) {
        flows_.erase(tuple);
    }
}

void RelayAgent::sendReports(Timestamp now)
{
    wire::relay::Message message;
    wire::relay::Report *report = message.mutable_report();
    *report->mutable_agent() = toWire(settings_.self);
    report->set_group(settings_.group);
    fillLoad(now, *report->mutable_load());
    const std::vector<const PeerBook::Entry *> balancers = peers_.withRole(PeerRole::Balancer);
    const Milliseconds spread(static_cast<std::int64_t>(balancers.size()) * 1000 / ReportsPerSecond);
    const Milliseconds interval = std::clamp(spread, ShortestReportInterval, LongestReportInterval);
    report->set_interval_ms(static_cast<std::uint32_t>(interval.count()));
    for (const PeerBook::Entry *balancer : balancers) {
        output_.sendToPeer(balancer->peer.address, message);
    }
    if (now >= nextSeedContact_) {
        // Seeds may be stale, so they are asked as long as the agent runs, but rarely.
        nextSeedContact_ = now + SeedContactInterval;
        for (const PeerAddress &seed : settings_.seeds) {
            const bool known = std::any_of(balancers.begin(), balancers.end(), [&](const PeerBook::Entry *entry) {
                return entry->peer.address == seed;
            });
            if (!known) {
                output_.sendToPeer(seed, message);
            }
        }
    }
    nextReport_ = now + interval;
}

void RelayAgent::fillLoad(Timestamp now, wire::relay::Load &load)
{
    load.set_sequence(++loadSequence_);
    load.set_slots(meter_.slots());
    load.set_busy(meter_.busy());
    load.set_opening(openingFlows(now));
    load.set_open_flows(static_cast<std::uint32_t>(flows_.size()));
    load.set_service_time_us(static_cast<std::uint32_t>(meter_.serviceTimeMs() * 1000.0));
    load.set_utilization(static_cast<std::uint32_t>(meter_.utilization(now) * 1000.0));
    load.set_state(static_cast<std::uint32_t>(state(now)));
}

std::uint32_t RelayAgent::openingFlows(Timestamp now)
{
    opening_.erase(std::remove_if(opening_.begin(),
                                  opening_.end(),
                                  [&](const std::pair<FlowTuple, Timestamp> &entry) {
                                      const AgentFlow *flow = flows_.find(entry.first);
                                      return flow == nullptr || flow->sentRequest || now - entry.second > OpeningPeriod;
                                  }),
                   opening_.end());
    return static_cast<std::uint32_t>(opening_.size());
}

bool RelayAgent::isTargetGone(Timestamp now) const
{
    // Not state(): an agent that leaves still knows whether its target has ended.
    return target_.state(now) == TargetState::Gone;
}

bool RelayAgent::isOfEndedTarget(Timestamp now, const AgentFlow &flow) const
{
    return isTargetGone(now) || (flow.open && flow.targetStart != target_.starts());
}

bool RelayAgent::mayHoldUnknownFlows(Timestamp now) const
{
    return uncertainSince_ && now - *uncertainSince_ < FlowRetention && !isTargetGone(now);
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
        nextReport_ = now;
        output_.logDecision("agentLeaving", {{"busy", std::to_string(meter_.busy())}});
    }
}

void RelayAgent::finishLeave(Timestamp now)
{
    wire::relay::Message message;
    wire::relay::Hello *hello = message.mutable_hello();
    *hello->mutable_sender() = toWire(settings_.self);
    hello->set_leaving(true);
    hello->set_target_ended(isTargetGone(now));
    for (const PeerBook::Entry *balancer : peers_.withRole(PeerRole::Balancer)) {
        output_.sendToPeer(balancer->peer.address, message);
    }
}

bool RelayAgent::mayExit(Timestamp now) const
{
    if (!leaving_) {
        return false;
    }
    const Milliseconds waited = now - *leaving_;
    return waited >= LongestLeave || (waited >= ShortestLeave && meter_.busy() == 0);
}

TargetState RelayAgent::state(Timestamp now) const
{
    return leaving_ ? TargetState::AgentLeaving : target_.state(now);
}

} // namespace rhubarblane
