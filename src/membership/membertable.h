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

/** The entry of a balancer in the member table. */
struct Member {
    EntryVersion version;
    std::string name;
    PeerAddress address;
    PeerAddress httpAddress;
    std::string availabilityZone;
    std::string region;
    /** Time at which the tombstone was created locally. Valid only in state GONE. */
    Timestamp goneAt;
    /** Configuration revision and digest from the header of the member's last message. */
    std::uint64_t configurationRevision = 0;
    std::uint64_t configurationDigest = 0;
};

/** All balancers of the deployment with their tombstones. Selects peers by availability zone and region. */
class MemberTable : public EntryTable
{
public:
    /** Longer than any delayed copy of an entry stays in circulation, including copies in a partitioned region. */
    static constexpr Milliseconds TombstoneLifetime = Milliseconds(3600000);
    /** Number of members of a region that exchange gossip with other regions. */
    static constexpr std::size_t BridgesPerRegion = 3;

    MemberTable(BalancerId self, std::string availabilityZone, std::string region);

    MergeResult merge(Timestamp now, const wire::BalancerEntry &entry);
    /** Applies a state change. Returns Missing if the entry or this incarnation of it is unknown. */
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

    /** Live members of the region except this one, ordered by id. */
    const std::vector<BalancerId> &regionPeers() const;
    /** Live members of the availability zone except this one, ordered by id. */
    const std::vector<BalancerId> &availabilityZonePeers() const;
    /** Live members of the other regions by region, ordered by id. */
    const std::map<std::string, std::vector<BalancerId>> &otherRegions() const;
    std::vector<BalancerId> tombstones() const;
    std::size_t liveCount() const override;

    /** Returns the live members of an availability zone, including this one, ordered by id. */
    std::vector<BalancerId> membersOf(const std::string &availabilityZone) const;
    std::vector<std::string> availabilityZones() const;

    /** Returns true if this member exchanges gossip with the other regions. */
    bool isBridge() const;
    /**
     * Selects a random member of another region. Three of four selections are bridges; the others are any member, in
     * case all known bridges were replaced.
     */
    BalancerId remotePeer(const std::vector<BalancerId> &region, std::mt19937_64 &random) const;
    /** Selects a random peer of the region. Three of four selections are in the same availability zone. */
    std::optional<BalancerId> randomPeer(std::mt19937_64 &random) const;

    /** A counter that increases with each change of the set of live members or of their location. */
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
