// Message handling and local changes of MembershipCore.
#include "membership/membershipcore.h"

#include <algorithm>
#include <utility>

namespace rhubarblane
{

namespace
{

constexpr std::size_t IntroducedMembers = 6;
constexpr std::size_t ServiceMessages = 2;
constexpr std::size_t LeaveFanout = 8;

} // namespace

bool MembershipCore::refuteOwnVersion(const EntryVersion &version)
{
    const Member &self = *members_.member(self_);
    if (leaving_ || version.incarnation != self.version.incarnation || !(self.version < version)) {
        return false;
    }
    EntryVersion next = self.version;
    next.sequence = version.sequence + 1;
    members_.merge(now_, toChange(self_.value(), next));
    ++counters_.refuted;
    spread(false, self_.value(), false);
    return true;
}

bool MembershipCore::refuteTargetVersion(std::uint64_t id, const EntryVersion &version)
{
    const auto announced = announcedTargets_.find(id);
    if (announced == announcedTargets_.end() || !(version < versionOf(announced->second))) {
        return false;
    }
    // The target announced itself here with a later version than the one received, which is refuted.
    if (targets_.merge(now_, announced->second) == MergeResult::Newer) {
        spread(true, id, false);
    }
    return true;
}

void MembershipCore::mergeMember(MergeResult result, std::uint64_t id, bool changeOnly)
{
    if (result == MergeResult::Newer) {
        spread(false, id, changeOnly);
    } else if (result == MergeResult::Same) {
        rumors_.recordDuplicate(false, id);
    } else if (result == MergeResult::Older) {
        ++counters_.olderEntries;
    }
}

void MembershipCore::mergeTarget(MergeResult result, std::uint64_t id, bool changeOnly)
{
    if (result == MergeResult::Newer) {
        spread(true, id, changeOnly);
        changedTargets_[id] = targets_.entry(TargetId(id));
    } else if (result == MergeResult::Same) {
        rumors_.recordDuplicate(true, id);
    } else if (result == MergeResult::Older) {
        ++counters_.olderEntries;
    }
}

void MembershipCore::mergeEntry(const PeerAddress &from, const wire::BalancerEntry &entry)
{
    if (entry.balancer() == self_.value()) {
        refuteOwnVersion(versionOf(entry));
        return;
    }
    if (entry.balancer() == 0) {
        return;
    }
    const MergeResult result = members_.merge(now_, entry);
    mergeMember(result, entry.balancer(), false);
    if (result == MergeResult::Older && members_.find(entry.balancer())->isGone()) {
        // The member may be alive after a partition, so it is probed before the peer receives the tombstone.
        verifyGone(BalancerId(entry.balancer()), from);
    }
}

void MembershipCore::mergeEntry(const PeerAddress &from, const wire::TargetEntry &entry)
{
    if (entry.target() == 0 || refuteTargetVersion(entry.target(), versionOf(entry))) {
        return;
    }
    const MergeResult result = targets_.merge(now_, entry);
    mergeTarget(result, entry.target(), false);
    const std::optional<EntryVersion> known = targets_.find(entry.target());
    if (result == MergeResult::Older && known->isGone()) {
        wire::Gossip correction;
        correction.set_kind(wire::Gossip::SPREAD);
        *correction.add_target_changes() = toChange(entry.target(), *known);
        send(from, std::move(correction), TrafficClass::Sync);
    }
}

void MembershipCore::mergeEntries(const PeerAddress &from, const wire::Gossip &message)
{
    wire::Gossip wanted;
    wanted.set_kind(wire::Gossip::SPREAD);
    if (message.has_self()) {
        mergeEntry(from, message.self());
    }
    for (const wire::BalancerEntry &entry : message.balancers()) {
        mergeEntry(from, entry);
    }
    for (const wire::EntryVersion &change : message.balancer_changes()) {
        if (change.id() == self_.value()) {
            refuteOwnVersion(versionOf(change));
            continue;
        }
        const MergeResult result = members_.merge(now_, change);
        mergeMember(result, change.id(), true);
        if (result == MergeResult::Missing) {
            wanted.add_wanted_balancers(change.id());
        }
    }
    for (const wire::TargetEntry &entry : message.targets()) {
        mergeEntry(from, entry);
    }
    for (const wire::EntryVersion &change : message.target_changes()) {
        if (refuteTargetVersion(change.id(), versionOf(change))) {
            continue;
        }
        const MergeResult result = targets_.merge(now_, change);
        mergeTarget(result, change.id(), true);
        if (result == MergeResult::Missing) {
            wanted.add_wanted_targets(change.id());
        }
    }
    if (wanted.wanted_balancers_size() > 0 || wanted.wanted_targets_size() > 0) {
        send(from, std::move(wanted), TrafficClass::Sync);
    }
}

bool MembershipCore::checkSender(const PeerAddress &from, const wire::Gossip &message)
{
    const BalancerId sender(message.sender());
    const Member *member = members_.member(sender);
    wire::Gossip reply;
    reply.set_kind(wire::Gossip::SPREAD);
    if (member == nullptr || member->name.empty()) {
        reply.set_unknown_receiver(true);
        send(from, std::move(reply), TrafficClass::Probe);
        return true;
    }
    const EntryVersion &known = member->version;
    if (message.incarnation() < known.incarnation) {
        ++counters_.staleSenders;
        return false;
    }
    const bool isNewer = message.incarnation() > known.incarnation || message.sequence() > known.sequence;
    if (isNewer) {
        reply.set_unknown_receiver(true);
        send(from, std::move(reply), TrafficClass::Probe);
    } else if (known.isGone()) {
        // The sender is alive but was declared gone. It refutes the change with a higher sequence.
        *reply.add_balancer_changes() = toChange(message.sender(), known);
        send(from, std::move(reply), TrafficClass::Probe);
    }
    detector_.confirmAlive(now_, sender);
    return true;
}

void MembershipCore::recordConfiguration(BalancerId sender, const wire::Gossip &message)
{
    Member *member = members_.member(sender);
    if (member == nullptr || member->version.isGone()) {
        return;
    }
    member->configurationRevision = message.configuration_revision();
    member->configurationDigest = message.configuration_digest();
    const std::uint64_t revision = message.configuration_revision();
    if (revision <= revision_) {
        return;
    }
    const Member *newest = newestConfigurationSource_ ? members_.member(*newestConfigurationSource_) : nullptr;
    // Of peers with the same revision the last sender is kept, so that balancers fetch from different peers.
    if (newest == nullptr || newest->version.isGone() || revision >= newest->configurationRevision) {
        newestConfigurationSource_ = sender;
    }
}

void MembershipCore::compareDigests(const PeerAddress &from, const wire::Gossip &message)
{
    const Member *sender = members_.member(BalancerId(message.sender()));
    Difference &difference = differences_[sender != nullptr ? sender->region : std::string()];
    const std::array<bool, 2> differs = {message.member_digest() != members_.digests().root(),
                                         message.target_digest() != targets_.digests().root()};
    for (std::size_t table = 0; table < differs.size(); ++table) {
        std::optional<Timestamp> &since = difference.since[table];
        if (differs[table] && !since) {
            since = now_;
            difference.peer[table] = from;
        } else if (!differs[table] && difference.peer[table] == from) {
            // Only a match with the same peer ends the difference: after a partition, half of the region still differs.
            since.reset();
        }
    }
}

void MembershipCore::handleKind(const PeerAddress &from, const wire::Gossip &message)
{
    if (message.kind() == wire::Gossip::PROBE) {
        wire::Gossip answer;
        answer.set_kind(wire::Gossip::ACK);
        answer.set_probe(message.probe());
        if (message.has_self()) {
            // A joining balancer contacts these members of any availability zone next, instead of the seeds again.
            std::vector<std::uint64_t> known = {self_.value()};
            for (std::size_t i = 0; i < IntroducedMembers; ++i) {
                const std::optional<BalancerId> peer = members_.randomPeer(random_);
                if (peer && std::find(known.begin(), known.end(), peer->value()) == known.end()) {
                    known.push_back(peer->value());
                }
            }
            for (const std::uint64_t id : known) {
                members_.append(id, answer);
            }
        }
        piggyback(answer);
        send(from, std::move(answer), TrafficClass::Probe);
    } else if (message.kind() == wire::Gossip::ACK) {
        if (!message.has_subject()) {
            for (const AnswerProbeRequest &answer : detector_.finishIndirectProbes(BalancerId(message.sender()))) {
                wire::Gossip relayed;
                relayed.set_kind(wire::Gossip::ACK);
                relayed.set_probe(answer.probe);
                *relayed.mutable_subject() = toWire(addressOf(answer.subject));
                send(answer.to, std::move(relayed), TrafficClass::Probe);
            }
        } else if (const auto subject = members_.memberAt(fromWire(message.subject()))) {
            if (message.unreachable()) {
                detector_.recordUnreachable(*subject, BalancerId(message.sender()));
            } else {
                detector_.confirmAlive(now_, *subject);
            }
        }
    } else if (message.kind() == wire::Gossip::PROBE_REQUEST) {
        const auto subject = members_.memberAt(fromWire(message.subject()));
        const std::uint64_t number = subject ? detector_.startIndirectProbe(now_, from, message.probe(), *subject) : 0;
        if (number != 0) {
            probe(fromWire(message.subject()), number, *subject);
        }
    }
}

void MembershipCore::answerService(const PeerAddress &to, ServiceId service)
{
    std::vector<std::uint64_t> ids;
    for (const TargetId target : targets_.liveOf(service)) {
        ids.push_back(target.value());
    }
    for (wire::Gossip &answer : EntrySync::pack(targets_, ids, ServiceMessages)) {
        send(to, std::move(answer), TrafficClass::Target);
    }
}

void MembershipCore::handleInForce(const PeerAddress &from, const wire::Gossip &message)
{
    if (message.in_force_report()) {
        inForce_.handleReport(now_, BalancerId(message.sender()), message.configuration_revision());
    }
    for (const wire::InForceSummary &summary : message.in_force()) {
        inForce_.handleSummary(now_, summary);
    }
    if (message.wants_in_force()) {
        wire::Gossip answer;
        answer.set_kind(wire::Gossip::SPREAD);
        *answer.add_in_force() = inForce_.zoneSummary(now_, members_);
        send(from, std::move(answer), TrafficClass::InForce);
    }
}

void MembershipCore::handleMessage(Timestamp now, const PeerAddress &from, const wire::Gossip &message)
{
    advance(now);
    ++counters_.received;
    const std::size_t size = message.ByteSizeLong();
    counters_.receivedBytes += size;
    if (message.sender() == self_.value() || leaving_) {
        return;
    }
    if (sync_.isRequesting() && (message.balancers_size() > 0 || message.targets_size() > 0)) {
        budget_.chargeReceived(size);
    }
    mergeEntries(from, message);
    if (!checkSender(from, message)) {
        return;
    }
    if (message.unknown_receiver()) {
        wire::Gossip self;
        members_.append(self_.value(), self);
        wire::Gossip answer;
        answer.set_kind(wire::Gossip::SPREAD);
        *answer.mutable_self() = self.balancers(0);
        send(from, std::move(answer), TrafficClass::Probe);
    }
    recordConfiguration(BalancerId(message.sender()), message);
    compareDigests(from, message);
    handleKind(from, message);
    handleInForce(from, message);
    if (message.wanted_service() != 0) {
        answerService(from, ServiceId(message.wanted_service()));
    }
    for (SyncMessage &answer : sync_.handle(from, message, random_)) {
        send(answer.to, std::move(answer.message), TrafficClass::Sync);
    }
}

void MembershipCore::setConfiguration(Revision revision, std::uint64_t digest)
{
    if (revision.value() <= revision_) {
        return;
    }
    revision_ = revision.value();
    configurationDigest_ = digest;
    configurationTransmissions_ = transmissions(true);
    configurationRemote_ = 4;
    inForce_.setOwnRevision(revision_);
}

void MembershipCore::setTarget(const wire::TargetEntry &entry)
{
    if (entry.state() == wire::GONE) {
        announcedTargets_.erase(entry.target());
    } else {
        announcedTargets_[entry.target()] = entry;
    }
    // The sequence grows with each announcement, but only changes of content are sent to the up to 14,000 balancers.
    if (targets_.isSameContent(entry)) {
        return;
    }
    // Peers that have the rest of the entry need only its new state.
    const std::optional<EntryVersion> before = targets_.find(entry.target());
    wire::TargetEntry unchanged = entry;
    unchanged.set_state(before ? before->state : entry.state());
    const bool isStateChange =
        before && !before->isGone() && (entry.state() == wire::GONE || targets_.isSameContent(unchanged));
    if (targets_.merge(now_, entry) != MergeResult::Newer) {
        ++counters_.olderEntries;
        return;
    }
    spread(true, entry.target(), isStateChange);
}

std::vector<wire::TargetEntry> MembershipCore::takeChangedTargets()
{
    std::vector<wire::TargetEntry> result;
    for (auto &[id, entry] : changedTargets_) {
        result.push_back(std::move(entry));
    }
    changedTargets_.clear();
    return result;
}

std::vector<MemberView> MembershipCore::members() const
{
    std::vector<MemberView> result;
    for (const auto &[id, member] : members_.all()) {
        if (!member.version.isGone()) {
            result.push_back(MemberView {BalancerId(id),
                                         member.name,
                                         member.address,
                                         member.httpAddress,
                                         member.availabilityZone,
                                         member.region,
                                         member.version.state});
        }
    }
    return result;
}

std::optional<ConfigurationPeer> MembershipCore::newestConfigurationPeer() const
{
    const Member *peer = newestConfigurationSource_ ? members_.member(*newestConfigurationSource_) : nullptr;
    if (peer == nullptr || peer->version.isGone() || peer->configurationRevision <= revision_) {
        return std::nullopt;
    }
    return ConfigurationPeer {
        peer->name, peer->address, peer->httpAddress, Revision(peer->configurationRevision), peer->configurationDigest};
}

void MembershipCore::watchInForce(Timestamp now)
{
    advance(now);
    inForce_.watch(now_);
}

InForceCount MembershipCore::inForceCount(Revision revision) const
{
    return inForce_.count(now_, revision.value(), members_);
}

void MembershipCore::requestService(Timestamp now, ServiceId service)
{
    advance(now);
    const std::vector<BalancerId> &near = members_.availabilityZonePeers();
    const std::vector<BalancerId> &peers = near.empty() ? members_.regionPeers() : near;
    if (!peers.empty()) {
        wire::Gossip message;
        message.set_kind(wire::Gossip::SPREAD);
        message.set_wanted_service(service.value());
        send(addressOf(peers[random_() % peers.size()]), std::move(message), TrafficClass::Target);
    }
}

void MembershipCore::leave(Timestamp now)
{
    advance(now);
    EntryVersion version = members_.member(self_)->version;
    ++version.sequence;
    version.state = wire::GONE;
    wire::Gossip message;
    message.set_kind(wire::Gossip::SPREAD);
    *message.add_balancer_changes() = toChange(self_.value(), version);
    for (std::size_t i = 0; i < LeaveFanout; ++i) {
        if (const std::optional<BalancerId> peer = members_.randomPeer(random_)) {
            send(addressOf(*peer), message, TrafficClass::Probe);
        }
    }
    leaving_ = true;
}

} // namespace rhubarblane
