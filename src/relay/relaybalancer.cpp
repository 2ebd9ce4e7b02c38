#include "relay/relaybalancer.h"

#include "relay/relayflow.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rhubarblane
{

namespace
{

// A newer table must reach balancers that the store turns away within the 3 s of the platform, with one lost datagram.
constexpr Milliseconds HelloInterval(500);
// With more peers the interval grows so that a balancer sends at most this many a second.
constexpr std::int64_t HellosPerSecond = 100;
// Names of a few other processes are enough to find the rest within seconds.
constexpr std::size_t PeersPerHello = 24;
constexpr Milliseconds SeedContactInterval(1000);
// A round trip between availability zones takes 3 ms; the rest is for an agent that waits for its share of a processor.
constexpr Milliseconds OfferTimeout(40);
// Longer than the idle limit of flows in the reference deployments, 15 s; a forgotten owner is searched for again.
constexpr Milliseconds FlowRetention(20000);
constexpr Milliseconds SweepInterval(1000);
// Agents report within a second of the first contact; until then a new balancer does not know all targets.
constexpr Milliseconds LearningPeriod(1500);
// Other balancers name agents that the store has lost within one interval of their messages.
constexpr Milliseconds ShortLearningPeriod(700);
// When the store cannot be read, other balancers and the agents themselves have named all agents after this time.
constexpr Milliseconds LongLearningPeriod(10000);
// An agent that sends no report for this long has ended, or its VM is cut off; callers gave up long ago.
constexpr Milliseconds SilenceOfDead(5000);
// Callers repeat a packet at most 1.6 s later, which starts a new search.
constexpr Milliseconds SearchRetention(2000);
// One request for each round trip is enough even when several peers announce a newer table.
constexpr Milliseconds TableRequestInterval(100);
// Share of a caller's time limit that a request may wait for a slot, in percent.
constexpr std::int64_t AcceptedWaitPercent = 50;

} // namespace

RelayBalancer::RelayBalancer(RelayBalancerSettings settings,
                             Timestamp now,
                             const PacketFormat &format,
                             RelayOutput &output)
    : settings_(std::move(settings))
    , format_(format)
    , output_(output)
    , peers_(settings_.self)
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
    const KnownTarget *owner =
        flow == nullptr || flow->owner.port == 0 ? nullptr : targets_.find(flow->owner);
    if (owner == nullptr || pauses_.silence(now, owner->heard) >= SilenceOfDead) {
        search(now, *service, *head, packet, PeerAddress());
        return;
    }
    flows_.touch(now, head->flow);
    ++counters_.forwarded;
    forward(flow->owner, owner->group, ForwardMode::Known, Milliseconds(0), packet);
}

void RelayBalancer::open(Timestamp now,
                         const RelayedService &service,
                         const RelayPacket &head,
                         std::string_view packet)
{
    OwnedFlow &flow = flows_.touch(now, head.flow);
    const KnownTarget *owner = flow.owner.port == 0 ? nullptr : targets_.find(flow.owner);
    if (owner != nullptr && !owner->silent) {
        // A copy of an opening packet; the target answers it again.
        forward(flow.owner, owner->group, ForwardMode::Open, acceptedWait(service), packet);
        return;
    }
    flow.openingPacket = std::string(packet);
    flow.history = OfferHistory();
    offerNext(now, flow, "new");
}

void RelayBalancer::offerNext(Timestamp now, OwnedFlow &flow, std::string_view reason)
{
    const RelayedService *service = table_->find(flow.tuple);
    if (service == nullptr) {
        refuse(now, flow, "unknownService");
        return;
    }
    const WeightedGroup &group = service->groupOf(flow.tuple);
    const std::vector<const KnownTarget *> known = targets_.ofGroup(group.id);
    const std::optional<Offer> offer = placement_.next(now, known, flow.history, acceptedWait(*service));
    if (!offer) {
        refuse(now, flow, flow.history.tried.empty() ? "noTarget" : reason);
        return;
    }
    ++counters_.offers;
    flow.history.tried.push_back(offer->agent);
    flow.history.lastOfferMade = offer->last;
    flow.owner = offer->agent;
    flow.offered = true;
    flow.offeredAt = now;
    flow.basis = offer->basis;
    offers_.emplace_back(flow.tuple, now);
    targets_.noteOffer(offer->agent);
    forward(offer->agent, group.id, ForwardMode::Open, offer->acceptedWait, flow.openingPacket);
}

void RelayBalancer::refuse(Timestamp now, const OwnedFlow &flow, std::string_view reason)
{
    const FlowTuple tuple = flow.tuple;
    const bool noTarget = flow.history.tried.empty();
    const std::optional<RelayPacket> head = format_.decode(flow.openingPacket, PacketOrigin::Caller);
    const bool learning = noTarget && now - started_ < LearningPeriod;
    ++(learning ? counters_.droppedNoTarget : noTarget ? counters_.refusedNoTarget : counters_.refusedOverload);
    output_.logDecision("flowRefused",
                        {{"flow", formatFlowTuple(tuple)},
                         {"reason", std::string(reason)},
                         {"offers", std::to_string(flow.history.tried.size())},
                         {"targets", std::to_string(targets_.size())},
                         {"table", std::to_string(table_->version.value())},
                         {"outcome", learning ? "dropped" : "reset"}});
    flows_.erase(tuple);
    if (head && !learning) {
        resetCaller(*head);
    }
}

void RelayBalancer::forward(const PeerAddress &agent,
                            GroupId group,
                            ForwardMode mode,
                            Milliseconds wait,
                            std::string_view packet)
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
    FlowSearch search {now, head, {}};
    bool sent = false;
    for (const WeightedGroup &group : service.groups) {
        for (const KnownTarget *target : targets_.ofGroup(group.id)) {
            const PeerAddress &agent = target->agent.address;
            sent = sent || agent == except;
            if (agent == except) {
                continue;
            }
            if (pauses_.silence(now, target->heard) < SilenceOfDead) {
                search.unanswered.insert(agent);
            }
            forward(agent, group.id, ForwardMode::Search, Milliseconds(0), packet);
            sent = true;
        }
    }
    if (!sent) {
        ++counters_.droppedNoFlow;
        return;
    }
    ++counters_.searches;
    searches_[head.flow] = std::move(search);
    concludeSearch(now, head.flow);
}

void RelayBalancer::concludeSearch(Timestamp now, const FlowTuple &tuple)
{
    const auto found = searches_.find(tuple);
    if (found == searches_.end() || !found->second.unanswered.empty()) {
        return;
    }
    const RelayPacket head = found->second.head;
    searches_.erase(found);
    const bool certain = knowsAllAgents(now);
    output_.logDecision(
        "flowLost",
        {{"flow", formatFlowTuple(tuple)}, {"targets", std::to_string(targets_.size())}, {"outcome", certain ? "reset" : "dropped"}});
    if (certain && !head.reset) {
        ++counters_.flowsLost;
        resetCaller(head);
    }
}

bool RelayBalancer::knowsAllAgents(Timestamp now) const
{
    if (now - started_ < ShortLearningPeriod || (!peersRead_ && now - started_ < LongLearningPeriod)) {
        return false;
    }
    const std::vector<const PeerBook::Entry *> agents = peers_.withRole(PeerRole::Agent);
    return std::all_of(agents.begin(), agents.end(), [this](const PeerBook::Entry *entry) {
        return targets_.find(entry->peer.address) != nullptr;
    });
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
    const bool unknown = peers_.find(agent.id()) == nullptr;
    if (!peers_.hear(now, agent)) {
        return;
    }
    if (targets_.report(now, agent, report.group(), report.load())) {
        const KnownTarget *target = targets_.find(from);
        output_.logDecision("targetKnown",
                            {{"agent", agent.name},
                             {"group", report.group()},
                             {"state", nameOf(target->state)},
                             {"incarnation", std::to_string(agent.incarnation)},
                             {"sequence", std::to_string(report.load().sequence())}});
    }
    if (unknown) {
        wire::relay::Message message;
        fillHello(now, *message.mutable_hello());
        output_.sendToPeer(from, message);
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
        peers_.remove(sender.id());
        if (hello.target_ended()) {
            targets_.remove(sender.address);
        }
        output_.logDecision("peerLeft",
                            {{"peer", sender.name}, {"targetEnded", hello.target_ended() ? "true" : "false"}});
        return;
    }
    const bool unknown = peers_.find(sender.id()) == nullptr;
    if (!peers_.hear(now, sender)) {
        return;
    }
    for (const wire::relay::Peer &peer : hello.peers()) {
        peers_.name(now, fromWire(peer));
    }
    if (unknown) {
        output_.logDecision("peerFound", {{"peer", sender.name}, {"from", "hello"}});
        nextHello_ = now;
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
    if (answer.presence() == static_cast<std::uint32_t>(FlowPresence::Absent)) {
        const auto search = searches_.find(tuple);
        if (search != searches_.end()) {
            search->second.unanswered.erase(from);
            concludeSearch(now, tuple);
        }
        return;
    }
    searches_.erase(tuple);
    const bool opened = answer.presence() == static_cast<std::uint32_t>(FlowPresence::Opened);
    OwnedFlow &flow = flows_.touch(now, tuple);
    if (opened) {
        ++counters_.flowsOpened;
        openTimes_.add(now - flow.firstSeen);
    }
    const KnownTarget *target = targets_.find(from);
    output_.logDecision(opened ? "flowOpened" : "flowFound",
                        {{"flow", formatFlowTuple(tuple)},
                         {"agent", target == nullptr ? formatPeerAddress(from) : target->agent.name},
                         {"offers", std::to_string(flow.history.tried.size())},
                         {"lastOffer", flow.history.lastOfferMade ? "true" : "false"},
                         {"believedRequests", std::to_string(flow.basis.requests)},
                         {"believedServiceMs", std::to_string(std::lround(flow.basis.serviceTimeMs))},
                         {"beliefAgeMs", std::to_string(flow.basis.age.count())},
                         {"busy", std::to_string(answer.load().busy())},
                         {"waitedMs", std::to_string((now - flow.firstSeen).count())}});
    flow.owner = from;
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
    nextHello_ = now;
}

void RelayBalancer::onPeersNamed(Timestamp now, const std::vector<Peer> &peers)
{
    peersRead_ = true;
    for (const Peer &peer : peers) {
        if (peer.name != settings_.self.name && peers_.find(peer.id()) == nullptr) {
            output_.logDecision("peerFound", {{"peer", peer.name}, {"from", "store"}});
            nextHello_ = now;
        }
        peers_.name(now, peer);
    }
}

void RelayBalancer::onTick(Timestamp now)
{
    pauses_.advance(now);
    while (!offers_.empty() && now - offers_.front().second >= OfferTimeout) {
        const auto [tuple, offeredAt] = offers_.front();
        offers_.pop_front();
        OwnedFlow *flow = flows_.find(tuple);
        if (flow != nullptr && flow->offered && flow->offeredAt == offeredAt) {
            ++counters_.offersUnanswered;
            targets_.noteSilence(flow->owner);
            offerNext(now, *flow, "unanswered");
        }
    }
    if (now >= nextHello_) {
        sendHellos(now);
    }
    if (now < nextSweep_) {
        return;
    }
    nextSweep_ = now + SweepInterval;
    flows_.expire(now, FlowRetention, [](const OwnedFlow &) {});
    for (auto search = searches_.begin(); search != searches_.end();) {
        search = now - search->second.started > SearchRetention ? searches_.erase(search) : std::next(search);
    }
    for (const Peer &agent : targets_.expire(now)) {
        output_.logDecision("targetForgotten", {{"agent", agent.name}});
    }
    for (const Peer &peer : peers_.expire(now)) {
        output_.logDecision("peerForgotten", {{"peer", peer.name}});
    }
}

void RelayBalancer::sendHellos(Timestamp now)
{
    wire::relay::Message message;
    fillHello(now, *message.mutable_hello());
    std::vector<PeerAddress> receivers;
    for (const PeerRole role : {PeerRole::Balancer, PeerRole::Agent}) {
        for (const PeerBook::Entry *entry : peers_.withRole(role)) {
            receivers.push_back(entry->peer.address);
        }
    }
    const auto peers = static_cast<std::int64_t>(receivers.size());
    if (now >= nextSeedContact_) {
        nextSeedContact_ = now + SeedContactInterval;
        std::copy_if(settings_.seeds.begin(),
                     settings_.seeds.end(),
                     std::back_inserter(receivers),
                     [&](const PeerAddress &seed) {
                         return seed != settings_.self.address
                             && std::find(receivers.begin(), receivers.end(), seed) == receivers.end();
                     });
    }
    for (const PeerAddress &receiver : receivers) {
        output_.sendToPeer(receiver, message);
    }
    nextHello_ = now + std::max(HelloInterval, Milliseconds(peers * 1000 / HellosPerSecond));
}

void RelayBalancer::fillHello(Timestamp now, wire::relay::Hello &hello) const
{
    *hello.mutable_sender() = toWire(settings_.self);
    hello.set_table_version(table_ ? table_->version.value() : 0);
    hello.set_leaving(ending_);
    for (const PeerBook::Entry *entry : peers_.recentlyHeard(now, PeersPerHello)) {
        *hello.add_peers() = toWire(entry->peer);
    }
}

Milliseconds RelayBalancer::acceptedWait(const RelayedService &service) const
{
    return Milliseconds(service.timeout.count() * AcceptedWaitPercent / 100);
}

void RelayBalancer::beginLeave()
{
    leaving_ = true;
    output_.logDecision("balancerLeaving", {{"flows", std::to_string(flows_.size())}});
}

void RelayBalancer::finishLeave(Timestamp now)
{
    ending_ = true;
    sendHellos(now);
}

bool RelayBalancer::isReady() const
{
    return table_ && !leaving_;
}

} // namespace rhubarblane
