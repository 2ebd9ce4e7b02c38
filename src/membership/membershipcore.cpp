#include "membership/membershipcore.h"

#include <utility>

namespace rhubarblane
{

namespace
{

constexpr Milliseconds RoundInterval(500);

template<typename Entry>
bool isNewer(const Entry &candidate, const Entry &known)
{
    if (candidate.incarnation() != known.incarnation()) {
        return candidate.incarnation() > known.incarnation();
    }
    return candidate.sequence() > known.sequence();
}

MemberView viewOf(const wire::BalancerEntry &entry)
{
    return MemberView {BalancerId(entry.balancer()),
                       entry.name(),
                       fromWire(entry.address()),
                       fromWire(entry.http_address()),
                       entry.availability_zone(),
                       entry.region(),
                       entry.state()};
}

} // namespace

MembershipCore::MembershipCore(MembershipSettings settings)
    : settings_(std::move(settings))
    , random_(settings_.randomSeed)
{
    self_.set_balancer(balancerIdOf(settings_.name).value());
    self_.set_incarnation(settings_.incarnation.value());
    self_.set_sequence(1);
    self_.set_name(settings_.name);
    *self_.mutable_address() = toWire(settings_.address);
    *self_.mutable_http_address() = toWire(settings_.httpAddress);
    self_.set_availability_zone(settings_.availabilityZone);
    self_.set_region(settings_.region);
    self_.set_state(wire::SERVING);
}

void MembershipCore::fill(wire::Gossip &message) const
{
    *message.mutable_self() = self_;
    for (const auto &[id, entry] : members_) {
        *message.add_balancers() = entry;
    }
    for (const auto &[id, entry] : targets_) {
        *message.add_targets() = entry;
    }
}

void MembershipCore::send(const PeerAddress &to, wire::Gossip::Kind kind)
{
    MembershipSend action;
    action.to = to;
    action.message.mutable_gossip()->set_kind(kind);
    fill(*action.message.mutable_gossip());
    actions_.push_back(std::move(action));
}

void MembershipCore::handleMessage(Timestamp now, const PeerAddress &from, const wire::Gossip &message)
{
    const auto mergeMember = [this](const wire::BalancerEntry &entry) {
        if (entry.balancer() == 0 || entry.balancer() == self_.balancer()) {
            return;
        }
        const auto known = members_.find(BalancerId(entry.balancer()));
        if (known == members_.end() || isNewer(entry, known->second)) {
            members_[BalancerId(entry.balancer())] = entry;
        }
    };
    mergeMember(message.self());
    for (const wire::BalancerEntry &entry : message.balancers()) {
        mergeMember(entry);
    }
    for (const wire::TargetEntry &entry : message.targets()) {
        const auto known = targets_.find(TargetId(entry.target()));
        if (known == targets_.end() || isNewer(entry, known->second)) {
            targets_[TargetId(entry.target())] = entry;
            changedTargets_.push_back(entry);
        }
    }
    if (message.kind() == wire::Gossip::PROBE) {
        send(from, wire::Gossip::ACK);
    }
}

void MembershipCore::tick(Timestamp now)
{
    if (now < nextRound_) {
        return;
    }
    nextRound_ = now + RoundInterval;
    std::vector<PeerAddress> peers;
    for (const PeerAddress &seed : settings_.seeds) {
        if (seed != settings_.address) {
            peers.push_back(seed);
        }
    }
    for (const auto &[id, entry] : members_) {
        if (entry.state() != wire::GONE) {
            peers.push_back(fromWire(entry.address()));
        }
    }
    if (!peers.empty()) {
        send(peers[random_() % peers.size()], wire::Gossip::PROBE);
    }
}

std::vector<MembershipSend> MembershipCore::takeActions()
{
    return std::exchange(actions_, {});
}

void MembershipCore::setConfiguration(Revision revision, std::uint64_t digest)
{
    self_.set_configuration_revision(revision.value());
    self_.set_configuration_digest(digest);
    self_.set_sequence(self_.sequence() + 1);
}

void MembershipCore::setTarget(const wire::TargetEntry &entry)
{
    targets_[TargetId(entry.target())] = entry;
}

std::vector<wire::TargetEntry> MembershipCore::takeChangedTargets()
{
    return std::exchange(changedTargets_, {});
}

std::vector<MemberView> MembershipCore::members() const
{
    std::vector<MemberView> result {viewOf(self_)};
    for (const auto &[id, entry] : members_) {
        if (entry.state() != wire::GONE) {
            result.push_back(viewOf(entry));
        }
    }
    return result;
}

std::optional<ConfigurationPeer> MembershipCore::newestConfigurationPeer() const
{
    std::optional<ConfigurationPeer> best;
    std::uint64_t highest = self_.configuration_revision();
    for (const auto &[id, entry] : members_) {
        if (entry.state() != wire::GONE && entry.configuration_revision() > highest) {
            highest = entry.configuration_revision();
            best = ConfigurationPeer {entry.name(),
                                      fromWire(entry.address()),
                                      fromWire(entry.http_address()),
                                      Revision(highest),
                                      entry.configuration_digest()};
        }
    }
    return best;
}

void MembershipCore::watchInForce(Timestamp now)
{
}

InForceCount MembershipCore::inForceCount(Revision revision) const
{
    InForceCount result;
    result.members = 1;
    result.inForce = self_.configuration_revision() >= revision.value() ? 1 : 0;
    result.complete = true;
    for (const auto &[id, entry] : members_) {
        if (entry.state() == wire::GONE) {
            continue;
        }
        ++result.members;
        if (entry.configuration_revision() >= revision.value()) {
            ++result.inForce;
        } else {
            result.lagging.push_back(entry.name());
        }
    }
    return result;
}

void MembershipCore::requestService(Timestamp now, ServiceId service)
{
}

void MembershipCore::leave(Timestamp now)
{
    self_.set_state(wire::GONE);
    self_.set_sequence(self_.sequence() + 1);
    for (const auto &[id, entry] : members_) {
        send(fromWire(entry.address()), wire::Gossip::SPREAD);
    }
}

} // namespace rhubarblane
