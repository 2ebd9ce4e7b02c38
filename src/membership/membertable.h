#ifndef RHUBARBLANE_MEMBERSHIP_MEMBERTABLE_H
#define RHUBARBLANE_MEMBERSHIP_MEMBERTABLE_H

#include "base/clock.h"
#include "base/ids.h"
#include "membership/entrytable.h"
#include "wire/peeraddress.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace rhubarblane
{

/** A balancer as this process knows it. */
struct Member {
    EntryVersion version;
    std::string name;
    PeerAddress address;
    PeerAddress httpAddress;
    std::string availabilityZone;
    std::string region;
    /** When the tombstone was made here; meaningful while the state is GONE. */
    Timestamp goneAt;
    /** What the member said about its configuration in its own messages. */
    std::uint64_t configurationRevision = 0;
    std::uint64_t configurationDigest = 0;
};

/** All balancers of the deployment with their tombstones, and the choice of peers by place. */
class MemberTable : public EntryTable
{
public:
    /** A tombstone outlives every delayed copy of the entry, including those of a region that was cut off. */
    static constexpr Milliseconds TombstoneLifetime = Milliseconds(3600000);
    /** Members of a region that talk to the other regions. */
    static constexpr std::size_t BridgesPerRegion = 3;

    MemberTable(BalancerId self, std::string availabilityZone, std::string region);

    MergeResult merge(Timestamp now, const wire::BalancerEntry &entry);
    /** Takes over a state change; Missing if the entry or this incarnation of it is not known. */
    MergeResult merge(Timestamp now, const wire::EntryVersion &change);

    /** Removes tombstones that are older than their lifetime. */
    void expire(Timestamp now);

    const Member *member(BalancerId id) const;
    Member *member(BalancerId id);
    std::optional<BalancerId> memberAt(const PeerAddress &address) const;
    const std::map<std::uint64_t, Member> &all() const
    {
        return members_;
    }

    /** Live members without this one, in order of id. */
    const std::vector<BalancerId> &regionPeers() const;
    const std::vector<BalancerId> &availabilityZonePeers() const;
    const std::map<std::string, std::vector<BalancerId>> &otherRegions() const;
    std::vector<BalancerId> tombstones() const;
    std::size_t liveCount() const override;

    /** Live members of any availability zone, this one included, in order of id. */
    std::vector<BalancerId> membersOf(const std::string &availabilityZone) const;
    std::vector<std::string> availabilityZones() const;

    bool isBridge() const;
    /** A member of the other region: mostly one of its bridges, sometimes any, in case all its bridges changed. */
    BalancerId remotePeer(const std::vector<BalancerId> &region, std::mt19937_64 &random) const;
    /** A peer of the region; three of four choices are in the own availability zone. */
    std::optional<BalancerId> randomPeer(std::mt19937_64 &random) const;

    /** Changes with each change of the live members. */
    std::uint64_t generation() const
    {
        return generation_;
    }

    const DigestIndex &digests() const override
    {
        return digests_;
    }
    std::vector<std::pair<std::uint64_t, EntryVersion>> liveEntriesIn(std::uint32_t leaf) const override;
    std::optional<EntryVersion> find(std::uint64_t id) const override;
    bool append(std::uint64_t id, wire::Gossip &message) const override;

private:
    void replaceVersion(Timestamp now, std::uint64_t id, Member &member, const EntryVersion &version, bool known);
    void refresh() const;
    static std::vector<BalancerId> bridgesOf(const std::string &region, const std::vector<BalancerId> &members);

    BalancerId self_;
    std::string availabilityZone_;
    std::string region_;
    std::map<std::uint64_t, Member> members_;
    DigestIndex digests_;
    std::uint64_t generation_ = 1;

    // Derived from members_ when generation_ has changed.
    mutable std::uint64_t derivedGeneration_ = 0;
    mutable std::vector<BalancerId> regionPeers_;
    mutable std::vector<BalancerId> availabilityZonePeers_;
    mutable std::map<std::string, std::vector<BalancerId>> otherRegions_;
    mutable std::map<std::string, std::vector<BalancerId>> otherBridges_;
    mutable std::size_t liveCount_ = 0;
    mutable bool isBridge_ = false;
};

} // namespace rhubarblane

#endif
