#include "relay/relaybalancer.h"

#include "relay/relayflow.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rhubarblane
{

namespace
{

// Longer than the idle timeout of flows in the reference deployments, 15 s; an expired owner is searched for again.
constexpr Milliseconds OwnerRetention(20000);
constexpr Milliseconds SweepInterval(1000);
// One request per round trip suffices even if several peers announce a newer table.
constexpr Milliseconds TableRequestInterval(100);

} // namespace

RelayBalancer::RelayBalancer(RelayBalancerSettings settings,
                             Timestamp now,
                             const PacketFormat &format,
                             RelayOutput &output)
    : context_(std::move(settings), now, format, output)
    , opener_(context_)
    , finder_(context_)
{
}

void RelayBalancer::onCallerPacket(Timestamp now, std::string_view packet)
{
    context_.pauses.advance(now);
    ++context_.counters.packetsIn;
    const std::optional<RelayPacket> head = context_.format.decode(packet, PacketOrigin::Caller);
    if (!head || head->returned) {
        ++context_.counters.malformed;
        return;
    }
    if (!context_.table) {
        ++context_.counters.droppedNoTable;
        return;
    }
    const RelayedService *service = context_.table->find(head->flow);
    const bool opening = head->opening && !head->acknowledging;
    if (service == nullptr) {
        ++context_.counters.refusedUnknownService;
        if (opening) {
            context_.output.logDecision("flowRefused",
                                        {{"flow", formatFlowTuple(head->flow)},
                                         {"reason", "unknownService"},
                                         {"table", std::to_string(context_.table->version.value())}});
            context_.resetCaller(*head);
        }
        return;
    }
    if (opening) {
        if (!context_.mayPlaceFlows()) {
            ++context_.counters.droppedNoEvacuations;
            return;
        }
        finder_.cancelEarlierFlow(*head);
        if (opener_.isNewFlowOfUsedPort(now, *head)) {
            opener_.forgetEarlierFlow(now, head->flow);
        }
        opener_.open(now, *service, *head, packet);
        return;
    }
    BalancerFlow *flow = context_.flows.find(head->flow);
    if (flow != nullptr && (head->closing || head->reset)) {
        flow->callerClosed = true;
    }
    const KnownTarget *owner = flow == nullptr ? nullptr : context_.ownerOf(*flow);
    if (owner == nullptr || context_.isSilent(now, *owner)) {
        finder_.search(now, *service, *head, packet, PeerAddress());
        return;
    }
    context_.flows.touch(now, head->flow);
    ++context_.counters.forwarded;
    context_.forward(flow->owner, flow->group, ForwardMode::Known, Milliseconds(0), packet);
}

void RelayBalancer::onPeerMessage(Timestamp now, const PeerAddress &from, const wire::relay::Message &message)
{
    context_.pauses.advance(now);
    switch (message.body_case()) {
    case wire::relay::Message::kReport:
        handleReport(now, from, message.report());
        break;
    case wire::relay::Message::kHello:
        handleHello(now, from, message.hello());
        break;
    case wire::relay::Message::kReturned:
        handleReturned(now, from, message.returned());
        break;
    case wire::relay::Message::kFlowAnswer:
        handleFlowAnswer(now, from, message.flow_answer());
        break;
    case wire::relay::Message::kFlowList:
        finder_.handleList(now, from, message.flow_list());
        break;
    case wire::relay::Message::kTableRequest:
        handleTableRequest(from, message.table_request());
        break;
    case wire::relay::Message::kTablePart:
        if (std::optional<ServiceTable> table = assembler_.add(now, message.table_part())) {
            ++context_.counters.tablesFromPeers;
            onTable(now, std::move(*table), "peer");
        }
        break;
    default:
        ++context_.counters.malformed;
    }
}

void RelayBalancer::handleReport(Timestamp now, const PeerAddress &from, const wire::relay::Report &report)
{
    const std::optional<Peer> agent = peerFromWire(report.agent());
    if (!agent || agent->address != from || agent->role != PeerRole::Agent) {
        ++context_.counters.malformed;
        return;
    }
    if (!context_.peers.recordContact(now, *agent)) {
        return;
    }
    const KnownTarget *known = context_.targets.find(from);
    if (known != nullptr && known->agent.incarnation != agent->incarnation) {
        finder_.noteAgentStart(from);
    }
    if (context_.targets.report(now, *agent, report)) {
        const KnownTarget *target = context_.targets.find(from);
        context_.output.logDecision("targetKnown",
                                    {{"agent", agent->name},
                                     {"group", report.group()},
                                     {"state", nameOf(target->state)},
                                     {"incarnation", std::to_string(agent->incarnation)},
                                     {"sequence", std::to_string(report.load().sequence())}});
    }
}

void RelayBalancer::handleHello(Timestamp now, const PeerAddress &from, const wire::relay::Hello &hello)
{
    const std::optional<Peer> peer = peerFromWire(hello.sender());
    if (!peer || peer->address != from) {
        ++context_.counters.malformed;
        return;
    }
    const Peer &sender = *peer;
    if (hello.leaving()) {
        // An agent whose target still runs is restarted; until then its flows are not lost.
        if (sender.role == PeerRole::Balancer || hello.target_ended()) {
            context_.peers.remove(sender);
        }
        if (hello.target_ended()) {
            context_.targets.remove(sender.address);
        }
        context_.output.logDecision("peerLeft",
                                    {{"peer", sender.name}, {"targetEnded", hello.target_ended() ? "true" : "false"}});
        return;
    }
    if (!context_.peers.recordContact(now, sender)) {
        return;
    }
    for (const wire::relay::Peer &listed : hello.peers()) {
        if (const std::optional<Peer> other = peerFromWire(listed)) {
            context_.peers.recordMention(now, *other, "hello");
        } else {
            ++context_.counters.malformed;
        }
    }
    bool evacuationsCovered = !context_.settings.evacuations;
    if (hello.has_evacuations()) {
        if (const std::optional<EvacuatedZones> evacuations = evacuationsFromWire(hello.evacuations())) {
            onEvacuations(now, *evacuations, sender.name);
            evacuationsCovered = true;
        } else {
            ++context_.counters.malformed;
        }
    }
    const TableVersion peerVersion(hello.table_version());
    const TableVersion ownVersion = context_.table ? context_.table->version : TableVersion();
    // A check vouches for the own state only if that is not older than the state of the peer that made the check.
    if (hello.table_check() != 0 && peerVersion <= ownVersion && evacuationsCovered) {
        const Timestamp begun = now + Milliseconds(-static_cast<std::int64_t>(hello.table_check_age_ms()));
        context_.freshness.noteCheckOfPeer({hello.table_check(), begun});
    }
    if (ownVersion < peerVersion && now >= nextTableRequest_) {
        nextTableRequest_ = now + TableRequestInterval;
        wire::relay::Message message;
        message.mutable_table_request()->set_version(peerVersion.value());
        context_.output.sendToPeer(from, message);
    }
}

void RelayBalancer::handleTableRequest(const PeerAddress &from, const wire::relay::TableRequest &request)
{
    if (!context_.table || context_.table->version < TableVersion(request.version())) {
        return;
    }
    for (wire::relay::TablePart &part : splitTable(*context_.table)) {
        wire::relay::Message message;
        *message.mutable_table_part() = std::move(part);
        context_.output.sendToPeer(from, message);
    }
}

void RelayBalancer::handleReturned(Timestamp now, const PeerAddress &from, const wire::relay::Returned &returned)
{
    context_.targets.updateLoad(now, from, returned.load());
    const std::optional<RelayPacket> head = context_.format.decode(returned.packet(), PacketOrigin::Caller);
    if (!head || !context_.table || returned.reason() > static_cast<std::uint32_t>(ReturnReason::Cold)) {
        ++context_.counters.malformed;
        return;
    }
    const auto reason = static_cast<ReturnReason>(returned.reason());
    BalancerFlow *flow = context_.flows.find(head->flow);
    if (head->opening && !head->acknowledging) {
        opener_.handleReturnedOffer(now, from, head->flow, reason);
        return;
    }
    if (flow != nullptr && flow->owner == from) {
        context_.flows.erase(head->flow);
    }
    const RelayedService *service = context_.table->find(head->flow);
    if (service != nullptr) {
        context_.output.logDecision(
            "flowNotHeld",
            {{"flow", formatFlowTuple(head->flow)}, {"agent", formatPeerAddress(from)}, {"reason", nameOf(reason)}});
        finder_.search(now, *service, *head, returned.packet(), from);
    }
}

void RelayBalancer::handleFlowAnswer(Timestamp now, const PeerAddress &from, const wire::relay::FlowAnswer &answer)
{
    context_.targets.updateLoad(now, from, answer.load());
    const FlowTuple tuple = fromRelayFlow(answer.flow());
    if (answer.presence() > static_cast<std::uint32_t>(FlowPresence::Uncertain)) {
        ++context_.counters.malformed;
        return;
    }
    const auto presence = static_cast<FlowPresence>(answer.presence());
    if (presence == FlowPresence::Absent || presence == FlowPresence::Uncertain) {
        const BalancerFlow *recorded = context_.flows.find(tuple);
        if (presence == FlowPresence::Absent && recorded != nullptr && recorded->owner == from && !recorded->offered) {
            context_.flows.erase(tuple);
        }
        finder_.handleDenial(now, from, tuple, presence);
        return;
    }
    const BalancerFlow *known = context_.flows.find(tuple);
    if (presence == FlowPresence::Opened && known != nullptr && !known->offered && known->owner.port != 0) {
        // A second target opened the flow since the first one answered late; callers keep the first connection.
        return;
    }
    const bool confirmed =
        presence == FlowPresence::Held && known != nullptr && known->owner == from && !known->offered;
    if (confirmed && finder_.find(tuple) == nullptr) {
        return;
    }
    setOwner(now, from, answer);
    finder_.finish(tuple);
}

void RelayBalancer::setOwner(Timestamp now, const PeerAddress &agent, const wire::relay::FlowAnswer &answer)
{
    const bool opened = answer.presence() == static_cast<std::uint32_t>(FlowPresence::Opened);
    BalancerFlow &flow = context_.flows.touch(now, fromRelayFlow(answer.flow()));
    if (opened) {
        ++context_.counters.flowsOpened;
        if (flow.offered && flow.owner != agent) {
            ++context_.counters.flowsHandedOn;
            context_.output.logDecision("flowHandedOn",
                                        {{"flow", formatFlowTuple(flow.tuple)},
                                         {"from", formatPeerAddress(flow.owner)},
                                         {"to", formatPeerAddress(agent)},
                                         {"candidates", std::to_string(flow.candidates.size())}});
        }
        openTimes_.add(now - flow.firstSeen);
    }
    const KnownTarget *target = context_.targets.find(agent);
    const FlowSearch *search = finder_.find(flow.tuple);
    const Timestamp since = search != nullptr ? search->started : flow.firstSeen;
    context_.output.logDecision(opened ? "flowOpened" : "flowFound",
                                {{"flow", formatFlowTuple(flow.tuple)},
                                 {"agent", target == nullptr ? formatPeerAddress(agent) : target->agent.name},
                                 {"offers", std::to_string(flow.history.tried.size())},
                                 {"lastOffer", flow.history.lastOfferMade ? "true" : "false"},
                                 {"estimatedRequests", std::to_string(flow.estimate.requests)},
                                 {"reportedServiceMs", std::to_string(std::lround(flow.estimate.serviceTimeMs))},
                                 {"loadAgeMs", std::to_string(flow.estimate.age.count())},
                                 {"busy", std::to_string(answer.load().busy())},
                                 {"waitedMs", std::to_string((now - since).count())}});
    flow.owner = agent;
    flow.group = target == nullptr ? GroupId() : target->group;
    flow.offered = false;
    flow.history = OfferHistory();
    flow.candidates = {};
    flow.openingPacket = std::string();
}

void RelayBalancer::onTable(Timestamp now, ServiceTable table, std::string_view source)
{
    if (context_.table && table.version <= context_.table->version) {
        return;
    }
    context_.output.logDecision(
        "tableInForce",
        {{"version", std::to_string(table.version.value())},
         {"before", std::to_string(context_.table ? context_.table->version.value() : 0)},
         {"services", std::to_string(table.services.size())},
         {"from", std::string(source)},
         {"checkAgeMs", std::to_string(tableCheckAge(now).value_or(Milliseconds(-1)).count())}});
    finder_.noteTable(now, this->table(), table);
    context_.table = std::move(table);
    context_.table->indexPriorities();
    context_.table->indexColdRates();
    context_.peers.setTableVersion(now, context_.table->version);
}

void RelayBalancer::onEvacuations(Timestamp now, const EvacuatedZones &state, std::string_view source)
{
    const StorePosition before = context_.evacuations.state().asOf;
    if (state.asOf <= before) {
        if (context_.evacuations.noteIgnored(state)) {
            context_.output.logDecision("evacuationIgnored",
                                        {{"zones", joinNames(state.zones)},
                                         {"asOf", formatStorePosition(state.asOf)},
                                         {"known", joinNames(context_.evacuations.state().zones)},
                                         {"knownAsOf", formatStorePosition(before)},
                                         {"from", std::string(source)}});
        }
        return;
    }
    const std::set<std::string> changed = context_.evacuations.apply(now, state);
    context_.peers.setEvacuations(now, state, changed);
    if (changed.empty() && before != StorePosition()) {
        return;
    }
    // A zone without a known target may have a wrong name, unless this process has just started.
    const std::set<std::string> withoutTarget = context_.targets.setEvacuatedZones(state.zones);
    context_.output.logDecision(
        "evacuationInForce",
        {{"zones", joinNames(state.zones)},
         {"changed", joinNames(changed)},
         {"asOf", formatStorePosition(state.asOf)},
         {"before", formatStorePosition(before)},
         {"withoutTarget", joinNames(withoutTarget)},
         {"from", std::string(source)},
         {"checkAgeMs", std::to_string(tableCheckAge(now).value_or(Milliseconds(-1)).count())}});
}

bool RelayBalancer::takeTableCheck(Timestamp now)
{
    return context_.table && !leaving_ && context_.freshness.takeDueCheck(now, context_.peers.directory());
}

void RelayBalancer::onTableCheck(Timestamp now, Timestamp begun, bool succeeded)
{
    ++context_.counters.tableChecks;
    context_.freshness.finishCheck(now, begun, succeeded);
    if (succeeded) {
        context_.peers.announceTableCheck(now);
    } else {
        ++context_.counters.tableChecksFailed;
    }
}

std::optional<Milliseconds> RelayBalancer::tableCheckAge(Timestamp now) const
{
    const std::optional<TableCheck> &check = context_.freshness.lastCheck();
    return check ? std::optional<Milliseconds>(now - check->begun) : std::nullopt;
}

void RelayBalancer::onStorePeers(Timestamp now, const std::vector<Peer> &peers, LeaseHistory leases)
{
    finder_.noteStoreRead(now, leases);
    for (const Peer &peer : peers) {
        context_.peers.recordMention(now, peer, "store");
    }
}

void RelayBalancer::onTick(Timestamp now, Timestamp messagesRead)
{
    context_.pauses.advance(now);
    finder_.onTick(now);
    opener_.onTick(now, messagesRead);
    context_.peers.onTick(now);
    if (now < nextSweep_) {
        return;
    }
    nextSweep_ = now + SweepInterval;
    context_.flows.expire(now, OwnerRetention, [](const BalancerFlow &) {});
    finder_.expire(now);
    context_.peers.sweep(now);
    for (const Peer &agent : context_.targets.expire(now)) {
        context_.output.logDecision("targetExpired", {{"agent", agent.name}});
    }
}

void RelayBalancer::beginLeave()
{
    leaving_ = true;
    context_.output.logDecision("balancerLeaving", {{"flows", std::to_string(context_.flows.size())}});
}

void RelayBalancer::finishLeave(Timestamp now)
{
    context_.peers.announceLeave(now);
}

bool RelayBalancer::isReady() const
{
    return context_.table && context_.mayPlaceFlows() && !leaving_;
}

} // namespace rhubarblane
