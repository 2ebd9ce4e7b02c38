#include "membership/membertable.h"

#include "base/hash.h"

#include <algorithm>
#include <iterator>

namespace rhubarblane
{

MemberTable::MemberTable(BalancerId self, std::string availabilityZone, std::string region)
    : self_(self)
    , availabilityZone_(std::move(availabilityZone))
    , region_(std::move(region))
{
}

void MemberTable::replaceVersion(
    Timestamp now, std::uint64_t id, Member &member, const EntryVersion &version, bool known)
{
    const bool wasLive = known && !member.version.isGone();
    if (wasLive) {
        digests_.toggle(id, member.version);
    }
    member.version = version;
    if (version.isGone()) {
        member.goneAt = now;
    } else {
        digests_.toggle(id, version);
    }
    if (wasLive == version.isGone()) {
        ++generation_;
    }
}

MergeResult MemberTable::merge(Timestamp now, const wire::BalancerEntry &entry)
{
    const EntryVersion version = versionOf(entry);
    const auto position = members_.find(entry.balancer());
    const bool known = position != members_.end();
    if (known && !(position->second.version < version)) {
        return position->second.version == version ? MergeResult::Same : MergeResult::Older;
    }
    Member &member = known ? position->second : members_[entry.balancer()];
    const bool moved = member.availabilityZone != entry.availability_zone() || member.region != entry.region();
    member.name = entry.name();
    member.address = fromWire(entry.address());
    member.httpAddress = fromWire(entry.http_address());
    member.availabilityZone = entry.availability_zone();
    member.region = entry.region();
    if (known && member.version.incarnation != version.incarnation) {
        member.configurationRevision = 0;
        member.configurationDigest = 0;
    }
    replaceVersion(now, entry.balancer(), member, version, known);
    if (moved) {
        ++generation_;
    }
    return MergeResult::Newer;
}

MergeResult MemberTable::merge(Timestamp now, const wire::EntryVersion &change)
{
    const EntryVersion version = versionOf(change);
    const auto position = members_.find(change.id());
    if (position == members_.end()) {
        if (!version.isGone()) {
            return MergeResult::Missing;
        }
        // The tombstone rejects delayed copies of the live entry.
        replaceVersion(now, change.id(), members_[change.id()], version, false);
        return MergeResult::Newer;
    }
    Member &member = position->second;
    if (!(member.version < version)) {
        return member.version == version ? MergeResult::Same : MergeResult::Older;
    }
    if (!version.isGone() && (member.version.incarnation != version.incarnation || member.name.empty())) {
        return MergeResult::Missing;
    }
    replaceVersion(now, change.id(), member, version, true);
    return MergeResult::Newer;
}

void MemberTable::expire(Timestamp now)
{
    for (auto position = members_.begin(); position != members_.end();) {
        const Member &member = position->second;
        const bool expired = member.version.isGone() && now - member.goneAt >= TombstoneLifetime;
        position = expired ? members_.erase(position) : std::next(position);
    }
}

const Member *MemberTable::member(BalancerId id) const
{
    const auto position = members_.find(id.value());
    return position == members_.end() ? nullptr : &position->second;
}

Member *MemberTable::member(BalancerId id)
{
    const auto position = members_.find(id.value());
    return position == members_.end() ? nullptr : &position->second;
}

std::optional<BalancerId> MemberTable::memberAt(const PeerAddress &address) const
{
    for (const auto &[id, member] : members_) {
        if (!member.version.isGone() && member.address == address) {
            return BalancerId(id);
        }
    }
    return std::nullopt;
}

std::vector<BalancerId> MemberTable::bridgesOf(const std::string &region, const std::vector<BalancerId> &members)
{
    const std::uint64_t key = hashBytes(region);
    std::vector<BalancerId> bridges = members;
    const std::size_t count = std::min(BridgesPerRegion, bridges.size());
    std::partial_sort(
        bridges.begin(),
        bridges.begin() + static_cast<std::ptrdiff_t>(count),
        bridges.end(),
        [key](BalancerId a, BalancerId b) { return hashPair(key, a.value()) > hashPair(key, b.value()); });
    bridges.resize(count);
    return bridges;
}

void MemberTable::refresh() const
{
    if (derivedGeneration_ == generation_) {
        return;
    }
    derivedGeneration_ = generation_;
    regionPeers_.clear();
    availabilityZonePeers_.clear();
    otherRegions_.clear();
    otherBridges_.clear();
    liveCount_ = 0;
    std::vector<BalancerId> ownRegion;
    for (const auto &[id, member] : members_) {
        if (member.version.isGone()) {
            continue;
        }
        ++liveCount_;
        if (member.region != region_) {
            otherRegions_[member.region].push_back(BalancerId(id));
            continue;
        }
        ownRegion.push_back(BalancerId(id));
        if (BalancerId(id) == self_) {
            continue;
        }
        regionPeers_.push_back(BalancerId(id));
        if (member.availabilityZone == availabilityZone_) {
            availabilityZonePeers_.push_back(BalancerId(id));
        }
    }
    for (const auto &[region, members] : otherRegions_) {
        otherBridges_[region] = bridgesOf(region, members);
    }
    const std::vector<BalancerId> bridges = bridgesOf(region_, ownRegion);
    isBridge_ = std::find(bridges.begin(), bridges.end(), self_) != bridges.end();
}

const std::vector<BalancerId> &MemberTable::regionPeers() const
{
    refresh();
    return regionPeers_;
}

const std::vector<BalancerId> &MemberTable::availabilityZonePeers() const
{
    refresh();
    return availabilityZonePeers_;
}

const std::map<std::string, std::vector<BalancerId>> &MemberTable::otherRegions() const
{
    refresh();
    return otherRegions_;
}

std::vector<BalancerId> MemberTable::tombstones() const
{
    std::vector<BalancerId> result;
    for (const auto &[id, member] : members_) {
        // An entry without a name was created by a state change and has no address to probe.
        if (member.version.isGone() && !member.name.empty() && BalancerId(id) != self_) {
            result.push_back(BalancerId(id));
        }
    }
    return result;
}

std::size_t MemberTable::liveCount() const
{
    refresh();
    return liveCount_;
}

std::vector<BalancerId> MemberTable::membersOf(const std::string &availabilityZone) const
{
    std::vector<BalancerId> result;
    for (const auto &[id, member] : members_) {
        if (!member.version.isGone() && member.availabilityZone == availabilityZone) {
            result.push_back(BalancerId(id));
        }
    }
    return result;
}

std::vector<std::string> MemberTable::availabilityZones() const
{
    std::vector<std::string> result;
    for (const auto &[id, member] : members_) {
        if (!member.version.isGone()
            && std::find(result.begin(), result.end(), member.availabilityZone) == result.end()) {
            result.push_back(member.availabilityZone);
        }
    }
    std::sort(result.begin(), result.end());
    return result;
}

bool MemberTable::isBridge() const
{
    refresh();
    return isBridge_;
}

BalancerId MemberTable::remotePeer(const std::vector<BalancerId> &region, std::mt19937_64 &random) const
{
    const std::vector<BalancerId> &bridges = otherBridges_.at(members_.at(region.front().value()).region);
    const std::vector<BalancerId> &candidates = random() % 4 == 0 ? region : bridges;
    return candidates[random() % candidates.size()];
}

std::optional<BalancerId> MemberTable::randomPeer(std::mt19937_64 &random) const
{
    refresh();
    const bool isNear = !availabilityZonePeers_.empty() && random() % 4 != 0;
    const std::vector<BalancerId> &candidates = isNear ? availabilityZonePeers_ : regionPeers_;
    if (candidates.empty()) {
        return std::nullopt;
    }
    return candidates[random() % candidates.size()];
}

std::vector<std::pair<std::uint64_t, EntryVersion>> MemberTable::liveEntriesIn(std::uint32_t leaf) const
{
    std::vector<std::pair<std::uint64_t, EntryVersion>> result;
    const std::uint64_t first = static_cast<std::uint64_t>(leaf) << (64 - DigestIndex::LeafBits);
    for (auto position = members_.lower_bound(first);
         position != members_.end() && DigestIndex::leafOf(position->first) == leaf;
         ++position) {
        if (!position->second.version.isGone()) {
            result.emplace_back(position->first, position->second.version);
        }
    }
    return result;
}

std::optional<EntryVersion> MemberTable::find(std::uint64_t id) const
{
    const auto position = members_.find(id);
    if (position == members_.end()) {
        return std::nullopt;
    }
    return position->second.version;
}

bool MemberTable::append(std::uint64_t id, wire::Gossip &message) const
{
    const auto position = members_.find(id);
    if (position == members_.end() || position->second.name.empty()) {
        return false;
    }
    const Member &member = position->second;
    wire::BalancerEntry &entry = *message.add_balancers();
    entry.set_balancer(id);
    entry.set_incarnation(member.version.incarnation);
    entry.set_sequence(member.version.sequence);
    entry.set_state(member.version.state);
    entry.set_name(member.name);
    *entry.mutable_address() = toWire(member.address);
    *entry.mutable_http_address() = toWire(member.httpAddress);
    entry.set_availability_zone(member.availabilityZone);
    entry.set_region(member.region);
    return true;
}

} // namespace rhubarblane
