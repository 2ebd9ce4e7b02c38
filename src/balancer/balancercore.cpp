#include "balancer/balancercore.h"

#include "base/hash.h"

#include <utility>

namespace rhubarblane
{

namespace
{

// Three missed announcements.
constexpr Milliseconds TargetLease(4000);

} // namespace

std::size_t BalancerCore::ServiceEndpointHash::operator()(const ServiceEndpoint &endpoint) const noexcept
{
    return hashPair(endpoint.address,
                    (static_cast<std::uint64_t>(endpoint.port) << 8) | static_cast<std::uint64_t>(endpoint.protocol));
}

BalancerCore::BalancerCore(BalancerSettings settings)
    : settings_(std::move(settings))
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
    const auto service =
        services_.find(ServiceEndpoint {info.flow.serviceAddress, info.flow.servicePort, info.flow.protocol});
    if (service == services_.end()) {
        ++counters_.unknownService;
        return;
    }
    forward(info, service->second, packet);
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
    services_.clear();
    for (const auto &[name, service] : configuration_.services) {
        services_[ServiceEndpoint {service.address, service.port, service.protocol}] = serviceIdOf(name);
    }
    bindTargets();
    return true;
}

void BalancerCore::mergeTarget(Timestamp now, const wire::TargetEntry &entry)
{
    if (targets_.merge(entry)) {
        targets_.bind(TargetId(entry.target()), configuration_.serviceOf(entry));
    }
}

void BalancerCore::tick(Timestamp now)
{
    targets_.expire(now);
}

std::vector<BalancerSend> BalancerCore::takeActions()
{
    return std::exchange(actions_, {});
}

void BalancerCore::handle(Timestamp now, const PeerAddress &from, const wire::Announce &message)
{
    mergeTarget(now, message.entry());
    KnownTarget *known = targets_.find(TargetId(message.entry().target()));
    if (known == nullptr || known->entry.incarnation() != message.entry().incarnation()) {
        return;
    }
    known->entry = message.entry();
    known->leaseEnd = now + TargetLease;
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
    if (const ServiceSpec *service = configuration_.find(known->service)) {
        *ack->mutable_service() = toWire(*service);
        for (const KnownTarget *member : targets_.membersOf(known->service)) {
            *ack->add_members() = member->entry;
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
    const FlowHash flow = flowHashOf(fromWire(message.flow()));
    if (message.gone()) {
        cache_.erase(flow);
        return;
    }
    if (cache_.size() >= settings_.flowCacheLimit) {
        // Any entry may go: the home knows the owner of each flow.
        cache_.erase(cache_.begin());
    }
    const PeerAddress owner = fromWire(message.owner_address());
    cache_[flow] = CacheEntry {TargetId(message.owner()), owner.address, owner.port, message.owner_incarnation()};
}

void BalancerCore::forward(const PacketInfo &info, ServiceId service, std::string_view packet)
{
    BalancerSend action;
    wire::Forward *message = action.message.mutable_forward();
    message->set_service(service.value());
    *message->mutable_flow() = toWire(info.flow);
    message->set_packet(packet.data(), packet.size());
    message->set_opening(info.canOpen());
    *message->mutable_balancer() = toWire(settings_.address);

    const FlowHash hash = flowHashOf(info.flow);
    const auto cached = cache_.find(hash);
    if (cached != cache_.end()) {
        const KnownTarget *owner = targets_.find(cached->second.owner);
        const bool alive = owner != nullptr && owner->entry.incarnation() == cached->second.ownerIncarnation
            && owner->entry.state() != wire::GONE;
        if (alive) {
            ++counters_.cacheHits;
            message->set_to_owner(true);
            message->set_target_incarnation(cached->second.ownerIncarnation);
            action.to = PeerAddress {cached->second.ownerAddress, cached->second.ownerPort};
            actions_.push_back(std::move(action));
            return;
        }
        cache_.erase(cached);
    }
    const KnownTarget *home = targets_.homeOf(service, hash);
    if (home == nullptr) {
        ++counters_.noTarget;
        return;
    }
    ++counters_.toHome;
    message->set_target_incarnation(home->entry.incarnation());
    action.to = fromWire(home->entry.address());
    actions_.push_back(std::move(action));
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
