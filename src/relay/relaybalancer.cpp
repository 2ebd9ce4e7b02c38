#include "relay/relaybalancer.h"

#include "relay/relayflow.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rhubarblane
{

namespace
{

// A round trip between availability zones takes 3 ms; the rest is for an agent that waits for its share of a processor.
constexpr Milliseconds OfferTimeout(40);
// Longer than the idle limit of flows in the reference deployments, 15 s; a forgotten owner is searched for again.
constexpr Milliseconds FlowRetention(20000);
constexpr Milliseconds SweepInterval(1000);
// Agents report within a second of the first contact; until then a new balancer does not know all targets.
constexpr Milliseconds LearningPeriod(1500);
// Other balancers name agents that the store has lost within one interval of their messages.
constexpr Milliseconds ShortLearningPeriod(700);
// When all agents have just started, after a loss of power, no balancer knows more of them than the store.
constexpr Milliseconds RestartLearningPeriod(100);
// After a loss of power all processes are back within a second of each other; the rest is for clocks that differ.
constexpr std::uint64_t CommonStartMs = 1500;
// A store that answers late was away, and leases may have lapsed meanwhile: entries are back 2 s after its return, and
// their agents are known half a second later.
constexpr Milliseconds PromptRead(1000);
constexpr Milliseconds EntriesReturnPeriod(2500);
// When the store cannot be read, other balancers and the agents themselves have named all agents after this time.
constexpr Milliseconds LongLearningPeriod(10000);
// An agent that sends no report for this long has ended, or its VM is cut off; callers gave up long ago.
constexpr Milliseconds SilenceOfDead(5000);
// New flows that wait for the first targets; callers repeat the others. With one packet each they take 1 MB.
constexpr std::size_t MaximumUnplaced = 4096;
// One request for each round trip is enough even when several peers announce a newer table.
constexpr Milliseconds TableRequestInterval(100);
// Share of a service's latency objective that a request may wait for a slot, in percent; the rest is for its work and
// the network. A longer queue makes all requests late without serving more of them.
constexpr std::int64_t AcceptedWaitPercent = 45;
// The same for a service whose targets also serve a more urgent one: at overload the queue stays short enough for the
// urgent requests, and the others are refused first.
constexpr std::int64_t LessUrgentWaitPercent = 25;

} // namespace

RelayBalancer::RelayBalancer(RelayBalancerSettings settings,
                             Timestamp now,
                             const PacketFormat &format,
                             RelayOutput &output)
    : settings_(std::move(settings))
    , format_(format)
    , output_(output)
    , peers_(settings_.self, settings_.seeds, output)
    , targets_(settings_.self.availabilityZone)
    , placement_(settings_.randomSeed)
    , flows_(settings_.flowLimit)
    , pauses_(now)
    , started_(now)
{
}

void RelayBalancer::onCallerPacket(Timestamp now, std::string_view packet)
{
    pauses_.advance(now);
    ++counters_.packetsIn;
    const std::optional<RelayPacket> head = format_.decode(packet, PacketOrigin::Caller);
    if (!head || head->returned) {
        ++counters_.malformed;
        return;
    }
    if (!table_) {
        ++counters_.droppedNoTable;
        return;
    }
    const RelayedService *service = table_->find(head->flow);
    const bool opening = head->opening && !head->acknowledging;
    if (service == nullptr) {
        ++counters_.refusedUnknownService;
        if (opening) {
            output_.logDecision("flowRefused",
                                {{"flow", formatFlowTuple(head->flow)},
                                 {"reason", "unknownService"},
                                 {"table", std::to_string(table_->version.value())}});
            resetCaller(*head);
        }
        return;
    }
    if (opening) {
        open(now, *service, *head, packet);
        return;
    }
    OwnedFlow *flow = flows_.find(head->flow);
    const KnownTarget *owner = flow == nullptr || flow->owner.port == 0 ? nullptr : targets_.find(flow->owner);
    if (owner == nullptr || pauses_.silence(now, owner->heard) >= SilenceOfDead) {
        search(now, *service, *head, packet, PeerAddress());
        return;
    }
    flows_.touch(now, head->flow);
    ++counters_.forwarded;
    forward(flow->owner, owner->group, ForwardMode::Known, Milliseconds(0), packet);
}

void RelayBalancer::open(Timestamp now, const RelayedService &service, const RelayPacket &head, std::string_view packet)
{
    OwnedFlow &flow = flows_.touch(now, head.flow);
    const KnownTarget *owner = flow.owner.port == 0 ? nullptr : targets_.find(flow.owner);
    if (owner != nullptr && !owner->silent) {
        // A copy of an opening packet; the target answers it again.
        forward(flow.owner, owner->group, ForwardMode::Open, acceptedWait(service), packet);
        return;
    }
    if (flow.parked) {
        return;
    }
    flow.openingPacket = std::string(packet);
    flow.history = OfferHistory();
    offerNext(now, flow, "none");
    if (flow.parked) {
        output_.logDecision("flowWaiting",
                            {{"flow", formatFlowTuple(head.flow)},
                             {"reason", nameOf(Refusal::NoTarget)},
                             {"targets", std::to_string(targets_.size())},
                             {"startedMsAgo", std::to_string((now - started_).count())}});
    }
}

void RelayBalancer::offerNext(Timestamp now, OwnedFlow &flow, std::string_view lastReturn)
{
    const RelayedService *service = table_->find(flow.tuple);
    if (service == nullptr) {
        // The service was dropped while the flow opened.
        refuse(now, flow, Refusal::NoTarget, lastReturn);
        return;
    }
    const WeightedGroup &group = service->groupOf(flow.tuple);
    const std::variant<Offer, Refusal> next =
        placement_.next(now, targets_.ofGroup(group.id), flow.history, acceptedWait(*service));
    if (const Refusal *refusal = std::get_if<Refusal>(&next)) {
        refuse(now, flow, *refusal, lastReturn);
        return;
    }
    const Offer &offer = std::get<Offer>(next);
    ++counters_.offers;
    flow.history.tried.push_back(offer.agent);
    flow.history.lastOfferMade = offer.last;
    flow.owner = offer.agent;
    flow.offered = true;
    flow.offeredAt = now;
    flow.basis = offer.basis;
    offers_.emplace_back(flow.tuple, now);
    targets_.noteOffer(offer.agent);
    forward(offer.agent, group.id, ForwardMode::Open, offer.acceptedWait, flow.openingPacket);
}

void RelayBalancer::refuse(Timestamp now, OwnedFlow &flow, Refusal refusal, std::string_view lastReturn)
{
    const FlowTuple tuple = flow.tuple;
    const std::optional<RelayPacket> head = format_.decode(flow.openingPacket, PacketOrigin::Caller);
    const bool learning = refusal == Refusal::NoTarget && now - started_ < LearningPeriod;
    if (learning && unplaced_.size() < MaximumUnplaced) {
        park(flow);
        return;
    }
    ++(learning                           ? counters_.droppedNoTarget
           : refusal == Refusal::NoTarget ? counters_.refusedNoTarget
                                          : counters_.refusedOverload);
    output_.logDecision("flowRefused",
                        {{"flow", formatFlowTuple(tuple)},
                         {"reason", nameOf(refusal)},
                         {"offers", std::to_string(flow.history.tried.size())},
                         {"lastReturn", std::string(lastReturn)},
                         {"targets", std::to_string(targets_.size())},
                         {"table", std::to_string(table_->version.value())},
                         {"outcome", learning ? "dropped" : "reset"}});
    flows_.erase(tuple);
    if (head && !learning) {
        resetCaller(*head);
    }
}

void RelayBalancer::forward(
    const PeerAddress &agent, GroupId group, ForwardMode mode, Milliseconds wait, std::string_view packet)
{
    wire::relay::Message message;
    wire::relay::Forward *forward = message.mutable_forward();
    forward->set_group(group.value());
    forward->set_mode(static_cast<std::uint32_t>(mode));
    forward->set_accepted_wait_ms(static_cast<std::uint32_t>(wait.count()));
    forward->set_packet(packet.data(), packet.size());
    output_.sendToPeer(agent, message);
}

void RelayBalancer::search(Timestamp now,
                           const RelayedService &service,
                           const RelayPacket &head,
                           std::string_view packet,
                           const PeerAddress &except)
{
    FlowSearch *pending = searches_.find(head.flow);
    if (pending != nullptr && !FlowSearches::isOverdue(now, *pending)) {
        FlowSearches::addPacket(*pending, head, packet);
        return;
    }
    if (pending == nullptr && searches_.isFull()) {
        ++counters_.droppedNoFlow;
        return;
    }
    searches_.start(now, head, packet);
    askAgents(now, service, head.flow, except);
}

void RelayBalancer::askAgents(Timestamp now,
                              const RelayedService &service,
                              const FlowTuple &tuple,
                              const PeerAddress &except)
{
    FlowSearch &search = *searches_.find(tuple);
    search.undecided = false;
    search.asksAll = knowsAllAgents(now);
    bool anyAgent = false;
    wire::relay::Message message;
    *message.mutable_flow_query()->mutable_flow() = toRelayFlow(tuple);
    for (const WeightedGroup &group : service.groups) {
        message.mutable_flow_query()->set_group(group.id.value());
        for (const KnownTarget *target : targets_.ofGroup(group.id)) {
            anyAgent = true;
            const PeerAddress &agent = target->agent.address;
            if (agent == except) {
                continue;
            }
            if (pauses_.silence(now, target->heard) < SilenceOfDead) {
                search.unanswered.insert(agent);
            }
            output_.sendToPeer(agent, message);
        }
    }
    if (!anyAgent) {
        FlowSearches::leaveUndecided(search);
        return;
    }
    ++counters_.searches;
    concludeSearch(now, tuple);
}

void RelayBalancer::repeatUndecidedSearches(Timestamp now)
{
    const std::vector<FlowTuple> undecided = searches_.undecided();
    if (undecided.empty() || !table_ || !knowsAllAgents(now)) {
        return;
    }
    for (const FlowTuple &tuple : undecided) {
        const RelayedService *service = table_->find(tuple);
        if (service == nullptr) {
            searches_.erase(tuple);
        } else {
            askAgents(now, *service, tuple, PeerAddress());
        }
    }
}

void RelayBalancer::park(OwnedFlow &flow)
{
    flow.owner = PeerAddress();
    flow.offered = false;
    flow.history = OfferHistory();
    if (!std::exchange(flow.parked, true)) {
        unplaced_.push_back(flow.tuple);
    }
}

void RelayBalancer::placeWaitingFlows(Timestamp now)
{
    for (const FlowTuple &tuple : std::exchange(unplaced_, {})) {
        OwnedFlow *flow = flows_.find(tuple);
        if (flow != nullptr && std::exchange(flow->parked, false)) {
            offerNext(now, *flow, "none");
        }
    }
}

void RelayBalancer::concludeSearch(Timestamp now, const FlowTuple &tuple)
{
    FlowSearch *search = searches_.find(tuple);
    if (search == nullptr || !search->unanswered.empty()) {
        return;
    }
    const RelayPacket head = search->head;
    const bool certain = search->asksAll;
    output_.logDecision("flowLost",
                        {{"flow", formatFlowTuple(tuple)},
                         {"targets", std::to_string(targets_.size())},
                         {"outcome", certain ? "reset" : "undecided"}});
    if (!certain) {
        FlowSearches::leaveUndecided(*search);
        return;
    }
    searches_.erase(tuple);
    if (!head.reset) {
        ++counters_.flowsLost;
        resetCaller(head);
    }
}

bool RelayBalancer::knowsAllAgents(Timestamp now) const
{
    const std::vector<const PeerBook::Entry *> agents = peers_.book().withRole(PeerRole::Agent);
    if (now - learningSince() < learningPeriod()) {
        return false;
    }
    return std::all_of(agents.begin(), agents.end(), [this](const PeerBook::Entry *entry) {
        return targets_.find(entry->peer.address) != nullptr;
    });
}

Timestamp RelayBalancer::learningSince() const
{
    return peersRead_.value_or(started_);
}

Milliseconds RelayBalancer::learningPeriod() const
{
    if (!peersRead_) {
        return LongLearningPeriod;
    }
    if (*peersRead_ - started_ >= PromptRead) {
        return EntriesReturnPeriod;
    }
    return startedWithAllOthers() ? RestartLearningPeriod : ShortLearningPeriod;
}

bool RelayBalancer::startedWithAllOthers() const
{
    const auto isOlder = [this](const PeerBook::Entry *entry) {
        return entry->peer.incarnation + CommonStartMs < settings_.self.incarnation;
    };
    const std::vector<const PeerBook::Entry *> agents = peers_.book().withRole(PeerRole::Agent);
    const std::vector<const PeerBook::Entry *> balancers = peers_.book().withRole(PeerRole::Balancer);
    // Entries of balancers that nobody has heard may be those of before the loss of power.
    const bool hasOlderBalancer =
        std::any_of(balancers.begin(), balancers.end(), [&isOlder](const PeerBook::Entry *entry) {
            return entry->heard && isOlder(entry);
        });
    return !agents.empty() && !hasOlderBalancer && std::none_of(agents.begin(), agents.end(), isOlder);
}

void RelayBalancer::resetCaller(const RelayPacket &head)
{
    output_.sendToCaller(head.flow.callerAddress, format_.makeReset(head));
}

void RelayBalancer::onPeerMessage(Timestamp now, const PeerAddress &from, const wire::relay::Message &message)
{
    pauses_.advance(now);
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
    case wire::relay::Message::kTableRequest:
        handleTableRequest(from, message.table_request());
        break;
    case wire::relay::Message::kTablePart:
        if (std::optional<ServiceTable> table = assembler_.add(message.table_part())) {
            ++counters_.tablesFromPeers;
            onTable(now, std::move(*table), "peer");
        }
        break;
    default:
        ++counters_.malformed;
    }
}

void RelayBalancer::handleReport(Timestamp now, const PeerAddress &from, const wire::relay::Report &report)
{
    const Peer agent = fromWire(report.agent());
    if (agent.address != from || agent.name.empty() || agent.role != PeerRole::Agent) {
        ++counters_.malformed;
        return;
    }
    if (!peers_.hear(now, agent)) {
        return;
    }
    if (targets_.report(now, agent, report)) {
        const KnownTarget *target = targets_.find(from);
        output_.logDecision("targetKnown",
                            {{"agent", agent.name},
                             {"group", report.group()},
                             {"state", nameOf(target->state)},
                             {"incarnation", std::to_string(agent.incarnation)},
                             {"sequence", std::to_string(report.load().sequence())}});
    }
}

void RelayBalancer::handleHello(Timestamp now, const PeerAddress &from, const wire::relay::Hello &hello)
{
    const Peer sender = fromWire(hello.sender());
    if (sender.address != from || sender.name.empty()) {
        ++counters_.malformed;
        return;
    }
    if (hello.leaving()) {
        // An agent that leaves beside a living target comes back; until then its flows are not lost.
        if (sender.role == PeerRole::Balancer || hello.target_ended()) {
            peers_.remove(sender);
        }
        if (hello.target_ended()) {
            targets_.remove(sender.address);
        }
        output_.logDecision("peerLeft",
                            {{"peer", sender.name}, {"targetEnded", hello.target_ended() ? "true" : "false"}});
        return;
    }
    if (!peers_.hear(now, sender)) {
        return;
    }
    for (const wire::relay::Peer &peer : hello.peers()) {
        peers_.name(now, fromWire(peer), "hello");
    }
    const TableVersion theirs(hello.table_version());
    const TableVersion mine = table_ ? table_->version : TableVersion();
    if (mine < theirs && now >= nextTableRequest_) {
        nextTableRequest_ = now + TableRequestInterval;
        wire::relay::Message message;
        message.mutable_table_request()->set_version(theirs.value());
        output_.sendToPeer(from, message);
    }
}

void RelayBalancer::handleTableRequest(const PeerAddress &from, const wire::relay::TableRequest &request)
{
    if (!table_ || table_->version < TableVersion(request.version())) {
        return;
    }
    for (wire::relay::TablePart &part : splitTable(*table_)) {
        wire::relay::Message message;
        *message.mutable_table_part() = std::move(part);
        output_.sendToPeer(from, message);
    }
}

void RelayBalancer::handleReturned(Timestamp now, const PeerAddress &from, const wire::relay::Returned &returned)
{
    targets_.updateLoad(now, from, returned.load());
    const std::optional<RelayPacket> head = format_.decode(returned.packet(), PacketOrigin::Caller);
    if (!head || !table_ || returned.reason() > static_cast<std::uint32_t>(ReturnReason::WrongGroup)) {
        ++counters_.malformed;
        return;
    }
    const auto reason = static_cast<ReturnReason>(returned.reason());
    OwnedFlow *flow = flows_.find(head->flow);
    if (head->opening && !head->acknowledging) {
        ++counters_.offersReturned;
        if (flow != nullptr && flow->owner == from && flow->offered) {
            offerNext(now, *flow, nameOf(reason));
        }
        return;
    }
    if (flow != nullptr && flow->owner == from) {
        flows_.erase(head->flow);
    }
    const RelayedService *service = table_->find(head->flow);
    if (service != nullptr) {
        output_.logDecision("flowNotHeld", {{"flow", formatFlowTuple(head->flow)}, {"agent", formatPeerAddress(from)}});
        search(now, *service, *head, returned.packet(), from);
    }
}

void RelayBalancer::handleFlowAnswer(Timestamp now, const PeerAddress &from, const wire::relay::FlowAnswer &answer)
{
    targets_.updateLoad(now, from, answer.load());
    const FlowTuple tuple = fromRelayFlow(answer.flow());
    if (answer.presence() > static_cast<std::uint32_t>(FlowPresence::Uncertain)) {
        ++counters_.malformed;
        return;
    }
    const auto presence = static_cast<FlowPresence>(answer.presence());
    if (presence == FlowPresence::Absent || presence == FlowPresence::Uncertain) {
        const OwnedFlow *believed = flows_.find(tuple);
        if (presence == FlowPresence::Absent && believed != nullptr && believed->owner == from && !believed->offered) {
            flows_.erase(tuple);
        }
        handleSearchAnswer(now, from, tuple, presence);
        return;
    }
    const OwnedFlow *known = flows_.find(tuple);
    if (presence == FlowPresence::Opened && known != nullptr && !known->offered && known->owner.port != 0) {
        // A second target opened the flow after a late answer; callers keep the first one.
        return;
    }
    const bool confirmed =
        presence == FlowPresence::Held && known != nullptr && known->owner == from && !known->offered;
    if (confirmed && searches_.find(tuple) == nullptr) {
        return;
    }
    setOwner(now, from, answer);
    const KnownTarget *target = targets_.find(from);
    const FlowSearch *search = searches_.find(tuple);
    if (target != nullptr && search != nullptr) {
        for (const std::string &packet : search->packets) {
            ++counters_.forwarded;
            forward(from, target->group, ForwardMode::Known, Milliseconds(0), packet);
        }
    }
    searches_.erase(tuple);
}

void RelayBalancer::handleSearchAnswer(Timestamp now,
                                       const PeerAddress &from,
                                       const FlowTuple &tuple,
                                       FlowPresence presence)
{
    FlowSearch *search = searches_.find(tuple);
    if (search == nullptr) {
        return;
    }
    const KnownTarget *target = targets_.find(from);
    if (presence == FlowPresence::Uncertain && target != nullptr) {
        // The target's own answer to a packet of the flow decides.
        forward(from, target->group, ForwardMode::Search, Milliseconds(0), search->packets.front());
        return;
    }
    search->unanswered.erase(from);
    concludeSearch(now, tuple);
}

void RelayBalancer::setOwner(Timestamp now, const PeerAddress &agent, const wire::relay::FlowAnswer &answer)
{
    const bool opened = answer.presence() == static_cast<std::uint32_t>(FlowPresence::Opened);
    OwnedFlow &flow = flows_.touch(now, fromRelayFlow(answer.flow()));
    if (opened) {
        ++counters_.flowsOpened;
        openTimes_.add(now - flow.firstSeen);
    }
    const KnownTarget *target = targets_.find(agent);
    const FlowSearch *search = searches_.find(flow.tuple);
    const Timestamp since = search != nullptr ? search->started : flow.firstSeen;
    output_.logDecision(opened ? "flowOpened" : "flowFound",
                        {{"flow", formatFlowTuple(flow.tuple)},
                         {"agent", target == nullptr ? formatPeerAddress(agent) : target->agent.name},
                         {"offers", std::to_string(flow.history.tried.size())},
                         {"lastOffer", flow.history.lastOfferMade ? "true" : "false"},
                         {"believedRequests", std::to_string(flow.basis.requests)},
                         {"believedServiceMs", std::to_string(std::lround(flow.basis.serviceTimeMs))},
                         {"beliefAgeMs", std::to_string(flow.basis.age.count())},
                         {"busy", std::to_string(answer.load().busy())},
                         {"waitedMs", std::to_string((now - since).count())}});
    flow.owner = agent;
    flow.offered = false;
    flow.history = OfferHistory();
    flow.openingPacket = std::string();
}

void RelayBalancer::onTable(Timestamp now, ServiceTable table, std::string_view source)
{
    if (table_ && table.version <= table_->version) {
        return;
    }
    output_.logDecision("tableInForce",
                        {{"version", std::to_string(table.version.value())},
                         {"before", std::to_string(table_ ? table_->version.value() : 0)},
                         {"services", std::to_string(table.services.size())},
                         {"from", std::string(source)}});
    table_ = std::move(table);
    table_->indexPriorities();
    peers_.setTableVersion(now, table_->version);
}

void RelayBalancer::onPeersNamed(Timestamp now, const std::vector<Peer> &peers)
{
    peersRead_ = peersRead_.value_or(now);
    for (const Peer &peer : peers) {
        peers_.name(now, peer, "store");
    }
}

void RelayBalancer::onTick(Timestamp now, Timestamp messagesRead)
{
    pauses_.advance(now);
    while (!offers_.empty() && messagesRead - offers_.front().second >= OfferTimeout) {
        const auto [tuple, offeredAt] = offers_.front();
        offers_.pop_front();
        OwnedFlow *flow = flows_.find(tuple);
        if (flow != nullptr && flow->offered && flow->offeredAt == offeredAt) {
            ++counters_.offersUnanswered;
            targets_.noteSilence(flow->owner);
            offerNext(now, *flow, "unanswered");
        }
    }
    repeatUndecidedSearches(now);
    placeWaitingFlows(now);
    peers_.onTick(now);
    if (now < nextSweep_) {
        return;
    }
    nextSweep_ = now + SweepInterval;
    flows_.expire(now, FlowRetention, [](const OwnedFlow &) {});
    searches_.expire(now);
    peers_.sweep(now);
    for (const Peer &agent : targets_.expire(now)) {
        output_.logDecision("targetForgotten", {{"agent", agent.name}});
    }
}

Milliseconds RelayBalancer::acceptedWait(const RelayedService &service) const
{
    const Milliseconds limit = service.objective > Milliseconds(0) ? service.objective : service.timeout;
    const bool lessUrgent = table_->isLessUrgent(service);
    return Milliseconds(limit.count() * (lessUrgent ? LessUrgentWaitPercent : AcceptedWaitPercent) / 100);
}

void RelayBalancer::beginLeave()
{
    leaving_ = true;
    output_.logDecision("balancerLeaving", {{"flows", std::to_string(flows_.size())}});
}

void RelayBalancer::finishLeave(Timestamp now)
{
    peers_.announceEnd(now);
}

bool RelayBalancer::isReady() const
{
    return table_ && !leaving_;
}

} // namespace rhubarblane
