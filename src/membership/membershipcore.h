#ifndef RHUBARBLANE_MEMBERSHIP_MEMBERSHIPCORE_H
#define RHUBARBLANE_MEMBERSHIP_MEMBERSHIPCORE_H

#include "membership/bytebudget.h"
#include "membership/entrysync.h"
#include "membership/failuredetector.h"
#include "membership/inforceaggregator.h"
#include "membership/membershipsettings.h"
#include "membership/membertable.h"
#include "membership/rumorqueue.h"
#include "membership/targetentries.h"

#include <array>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace rhubarblane
{

/** Send a message to another balancer. The sealed message fits a datagram of 1,200 bytes. */
struct MembershipSend {
    PeerAddress to;
    wire::Envelope message;
};

/** A balancer as the membership knows it. */
struct MemberView {
    BalancerId id;
    std::string name;
    PeerAddress address;
    PeerAddress httpAddress;
    std::string availabilityZone;
    std::string region;
    wire::MemberState state = wire::JOINING;
};

/** A peer that acts on a configuration revision and can be asked for it. */
struct ConfigurationPeer {
    std::string name;
    PeerAddress address;
    PeerAddress httpAddress;
    Revision revision;
    std::uint64_t digest = 0;
};

/** Counters since the start of the process. */
struct MembershipCounters {
    std::uint64_t received = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t declaredGone = 0;
    std::uint64_t refuted = 0;
    std::uint64_t clockGaps = 0;
    std::uint64_t staleSenders = 0;
    std::uint64_t olderEntries = 0;
    std::uint64_t syncs = 0;
};

/**
 * Membership of balancers, and the spreading of target entries and configuration revisions between them.
 * Has no sockets, threads or clock; equal events give equal actions. Call tick() every 100 ms.
 */
class MembershipCore
{
public:
    explicit MembershipCore(MembershipSettings settings);

    /** Handles an authenticated message from another balancer. */
    void handleMessage(Timestamp now, const PeerAddress &from, const wire::Gossip &message);

    void tick(Timestamp now);

    std::vector<MembershipSend> takeActions();

    /** The configuration that this balancer acts on. */
    void setConfiguration(Revision revision, std::uint64_t digest);

    /** Takes over the entry of a target that announces here; call it on each announcement and when its lease ends. */
    void setTarget(const wire::TargetEntry &entry);

    /** Target entries that changed through other balancers since the last call, for BalancerCore::mergeTarget. */
    std::vector<wire::TargetEntry> takeChangedTargets();

    /** All known balancers, this one included, without those that are gone. Ordered by id. */
    std::vector<MemberView> members() const;

    /** The peer to fetch from: one with the highest revision above the own; none if the own is the highest. */
    std::optional<ConfigurationPeer> newestConfigurationPeer() const;

    /** Asks for the in-force summaries for the next 10 s; call it whenever an operator reads a status. */
    void watchInForce(Timestamp now);
    InForceCount inForceCount(Revision revision) const;

    /** Asks a peer for the members of a service, for a balancer that does not have all target entries yet. */
    void requestService(Timestamp now, ServiceId service);

    /** Tells the others that this balancer leaves. The process may end when takeActions() is sent. */
    void leave(Timestamp now);

    /** Members that this balancer suspects to be dead. */
    std::size_t suspectCount() const
    {
        return detector_.suspectCount();
    }
    const std::array<TrafficCounters, TrafficClasses> &traffic() const
    {
        return budget_.counters();
    }
    const MembershipCounters &counters() const
    {
        return counters_;
    }
    const MemberTable &memberTable() const
    {
        return members_;
    }
    const TargetEntries &targets() const
    {
        return targets_;
    }

private:
    struct Conflict {
        BalancerId member;
        PeerAddress peer;
        Timestamp deadline;
    };

    /** Since when the tables differ from a peer's, and from which; index 0 is members, 1 is targets. */
    struct Difference {
        std::array<std::optional<Timestamp>, 2> since;
        std::array<PeerAddress, 2> peer;
    };

    void advance(Timestamp now);
    bool send(const PeerAddress &to, wire::Gossip message, TrafficClass traffic);
    void probe(const PeerAddress &to, std::uint64_t number, BalancerId subject);

    void mergeEntries(const PeerAddress &from, const wire::Gossip &message);
    void mergeEntry(const PeerAddress &from, const wire::BalancerEntry &entry);
    void mergeEntry(const PeerAddress &from, const wire::TargetEntry &entry);
    void mergeMember(MergeResult result, std::uint64_t id, bool changeOnly);
    void mergeTarget(MergeResult result, std::uint64_t id, bool changeOnly);
    bool refuteOwnVersion(const EntryVersion &version);
    bool refuteTargetVersion(std::uint64_t id, const EntryVersion &version);
    /** Checks what the sender says about itself; false if it is an earlier start of a known member. */
    bool checkSender(const PeerAddress &from, const wire::Gossip &message);
    void recordConfiguration(BalancerId sender, const wire::Gossip &message);
    void compareDigests(const PeerAddress &from, const wire::Gossip &message);
    void verifyGone(BalancerId member, const PeerAddress &peer);
    void handleKind(const PeerAddress &from, const wire::Gossip &message);
    void handleInForce(const PeerAddress &from, const wire::Gossip &message);
    void answerService(const PeerAddress &to, ServiceId service);

    void spread(bool target, std::uint64_t id, bool changeOnly);
    std::uint32_t transmissions(bool changeOnly) const;
    wire::Gossip collect(const std::vector<Rumor> &rumors, std::size_t &next, std::size_t limit) const;
    void flushRumors();
    void flushRemote();
    void piggyback(wire::Gossip &message);

    void runDetector();
    void runJoin();
    void runContacts();
    void runConflicts();
    void runSync();
    void runInForce();
    PeerAddress addressOf(BalancerId id) const;
    Milliseconds jitter(std::int64_t from, std::int64_t to);

    MembershipSettings settings_;
    BalancerId self_;
    std::mt19937_64 random_;
    MemberTable members_;
    TargetEntries targets_;
    FailureDetector detector_;
    RumorQueue rumors_;
    ByteBudget budget_;
    EntrySync sync_;
    InForceAggregator inForce_;
    MembershipCounters counters_;
    std::vector<MembershipSend> actions_;

    /** The latest versions of the targets that announce here; the sequence may be ahead of the spread entry. */
    std::map<std::uint64_t, wire::TargetEntry> announcedTargets_;
    std::map<std::uint64_t, wire::TargetEntry> changedTargets_;
    std::vector<Conflict> conflicts_;

    std::uint64_t revision_ = 0;
    std::uint64_t configurationDigest_ = 0;
    std::uint32_t configurationTransmissions_ = 0;
    std::uint32_t configurationRemote_ = 0;
    std::optional<BalancerId> newestConfigurationSource_;

    bool leaving_ = false;
    bool started_ = false;
    /** The caller's time of the last event, and the time that this process was seen to run. */
    Timestamp lastEvent_;
    Timestamp now_;
    std::uint32_t joinAttempts_ = 0;
    Timestamp nextJoin_;
    Timestamp nextTombstoneProbe_;
    Timestamp nextRemoteContact_;
    Timestamp nextSync_;
    Timestamp nextExpiry_;
    /** Tables that differ from those of a region's peers, by region. */
    std::map<std::string, Difference> differences_;
};

} // namespace rhubarblane

#endif
