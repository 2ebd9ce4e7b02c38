#include "balancer/balancercore.h"

#include <algorithm>
#include <utility>

namespace rhubarblane
{

namespace
{

// Targets announce themselves every second, so the lease survives three missed announcements.
constexpr Milliseconds TargetLease(4000);
// A restarted balancer receives an announcement of every target within one interval of 1 s plus a round trip.
constexpr Milliseconds HoldPeriod(1200);
// At 1.5 KB a packet, the queue takes at most 6 MB of the balancer's memory budget of 64 MB.
constexpr std::size_t MaximumHeldPackets = 4096;

bool hasEqualLabels(const wire::TargetEntry &a, const wire::TargetEntry &b)
{
    return std::equal(
        a.labels().begin(),
        a.labels().end(),
        b.labels().begin(),
        b.labels().end(),
        [](const wire::Label &x, const wire::Label &y) { return x.key() == y.key() && x.value() == y.value(); });
}

} // namespace

BalancerCore::BalancerCore(BalancerSettings settings)
    : settings_(std::move(settings))
    , cache_(settings_.flowCacheLimit)
{
}

void BalancerCore::handlePacket(Timestamp now, std::string_view packet)
{
    ++counters_.packets;
    const auto parsed = parsePacket(packet);
    if (const PacketError *error = std::get_if<PacketError>(&parsed)) {
        countPacketError(*error);
        return;
    }
    const PacketInfo &info = std::get<PacketInfo>(parsed);
    if (const std::optional<Route> found = route(info.flow)) {
        forward(info, *found, packet);
    } else if (services_.find(info.flow) != ServiceId()) {
        hold(now, info, packet);
    }
}

void BalancerCore::hold(Timestamp now, const PacketInfo &info, std::string_view packet)
{
    if (held_.size() < MaximumHeldPackets) {
        held_.push_back(HeldPacket {now, info, std::string(packet)});
    } else {
        ++counters_.heldDropped;
    }
}

void BalancerCore::releaseHeld(Timestamp now)
{
    for (HeldPacket &held : std::exchange(held_, {})) {
        const FlowTuple &flow = held.info.flow;
        const ServiceId service = services_.find(flow);
        if (service != ServiceId() && targets_.homeOf(service, flowHashOf(flow)) != nullptr) {
            ++counters_.heldSent;
            forward(held.info, *route(flow), held.packet);
        } else if (service == ServiceId() || now - held.since >= HoldPeriod) {
            ++counters_.heldDropped;
        } else {
            held_.push_back(std::move(held));
        }
    }
}

std::optional<Route> BalancerCore::route(const FlowTuple &flow)
{
    const FlowHash hash = flowHashOf(flow);
    cache_.prefetch(hash);
    // The service is looked up for cached flows too, so that flows of a removed service are not forwarded.
    const ServiceId service = services_.find(flow);
    if (service == ServiceId()) {
        ++counters_.unknownService;
        return std::nullopt;
    }
    if (const CachedOwner *owner = cache_.find(hash)) {
        if (targets_.isAlive(owner->target, owner->incarnation)) {
            ++counters_.cacheHits;
            return Route {service, PeerAddress {owner->address, owner->port}, owner->incarnation, true};
        }
        cache_.erase(hash);
    }
    const TargetRoute *home = targets_.homeOf(service, hash);
    if (home == nullptr) {
        ++counters_.noTarget;
        return std::nullopt;
    }
    ++counters_.toHome;
    return Route {service, home->address, home->incarnation, false};
}

void BalancerCore::handleMessage(Timestamp now, const PeerAddress &from, const wire::Envelope &message)
{
    switch (message.message_case()) {
    case wire::Envelope::kAnnounce:
        handle(now, from, message.announce());
        break;
    case wire::Envelope::kFlowOwner:
        handle(message.flow_owner());
        break;
    default:
        ++counters_.malformed;
        break;
    }
}

bool BalancerCore::applyConfiguration(const Configuration &configuration)
{
    if (configuration.revision <= configuration_.revision) {
        return false;
    }
    configuration_ = configuration;
    services_ = ServiceIndex(configuration_.services.size());
    specs_.clear();
    for (const auto &[name, service] : configuration_.services) {
        const ServiceId id = serviceIdOf(name);
        services_.insert(service.address, service.port, service.protocol, id);
        specs_[id] = &service;
    }
    bindTargets();
    return true;
}

void BalancerCore::mergeTarget(Timestamp now, const wire::TargetEntry &entry)
{
    const KnownTarget *known = targets_.find(TargetId(entry.target()));
    // Rules match only on these fields. Evaluating all rules for every other change of an entry, such as its state or
    // capacity, would be too slow.
    const bool sameRuleFields = known != nullptr && known->entry.client() == entry.client()
        && known->entry.availability_zone() == entry.availability_zone() && hasEqualLabels(known->entry, entry);
    if (targets_.merge(entry) && !sameRuleFields) {
        targets_.bind(TargetId(entry.target()), configuration_.serviceOf(entry));
    }
}

void BalancerCore::tick(Timestamp now)
{
    targets_.expire(now);
    releaseHeld(now);
}

std::vector<BalancerSend> BalancerCore::takeActions()
{
    return std::exchange(actions_, {});
}

void BalancerCore::handle(Timestamp now, const PeerAddress &from, const wire::Announce &message)
{
    mergeTarget(now, message.entry());
    KnownTarget *known = targets_.announce(message.entry(), now + TargetLease);
    if (known == nullptr) {
        return;
    }
    known->load = message.load();
    known->configurationRevision = message.configuration_revision();

    BalancerSend reply;
    reply.to = fromWire(message.entry().address());
    wire::AnnounceAck *ack = reply.message.mutable_announce_ack();
    ack->set_target(message.entry().target());
    ack->set_incarnation(message.entry().incarnation());
    ack->set_echo_sent_ms(message.sent_ms());
    ack->set_lease_ms(static_cast<std::uint64_t>(TargetLease.count()));
    ack->set_configuration_revision(configuration_.revision.value());
    const auto service = specs_.find(known->service);
    if (service != specs_.end()) {
        *ack->mutable_service() = toWire(*service->second);
        for (const KnownTarget *member : targets_.membersOf(known->service)) {
            *ack->add_members() = member->entry;
            // A silent member that is drained counts as gone without a majority, so the survivors of a small group
            // continue without its reply.
            const bool isAnnouncer = member->entry.target() == message.entry().target();
            if (!isAnnouncer && configuration_.drains.count(member->entry.name()) != 0) {
                ack->add_removed(member->entry.target());
            }
        }
    }
    const auto drain = configuration_.drains.find(message.entry().name());
    if (drain != configuration_.drains.end()) {
        ack->set_drain(true);
        ack->set_drain_deadline_ms(static_cast<std::uint64_t>(drain->second.deadline.count()));
    }
    actions_.push_back(std::move(reply));
}

void BalancerCore::handle(const wire::FlowOwner &message)
{
    const FlowTuple tuple = fromWire(message.flow());
    const FlowHash flow = flowHashOf(tuple);
    if (message.gone()) {
        cache_.erase(flow);
        return;
    }
    const KnownTarget *known = targets_.find(TargetId(message.owner()));
    const ServiceId service = services_.find(tuple);
    if (known == nullptr || service == ServiceId()) {
        return;
    }
    const PeerAddress owner = fromWire(message.owner_address());
    cache_.insert(flow, service, CachedOwner {message.owner_incarnation(), known->index, owner.address, owner.port});
}

void BalancerCore::forward(const PacketInfo &info, const Route &route, std::string_view packet)
{
    BalancerSend &action = actions_.emplace_back();
    action.to = route.address;
    wire::Forward *message = action.message.mutable_forward();
    message->set_service(route.service.value());
    *message->mutable_flow() = toWire(info.flow);
    message->set_packet(packet.data(), packet.size());
    message->set_opening(info.canOpenFlow());
    message->set_to_owner(route.toOwner);
    message->set_target_incarnation(route.incarnation);
    *message->mutable_balancer() = toWire(settings_.address);
}

void BalancerCore::countPacketError(PacketError error)
{
    switch (error) {
    case PacketError::Malformed:
        ++counters_.malformed;
        break;
    case PacketError::Fragment:
        ++counters_.fragments;
        break;
    case PacketError::UnsupportedProtocol:
        ++counters_.unsupportedProtocol;
        break;
    }
}

void BalancerCore::bindTargets()
{
    for (const auto &[target, known] : targets_.all()) {
        targets_.bind(target, configuration_.serviceOf(known.entry));
    }
}

} // namespace rhubarblane
