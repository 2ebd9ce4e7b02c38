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

/** A message to be sent to another balancer. The sealed message fits a datagram of 1,200 bytes. */
struct MembershipSend {
    PeerAddress to;
    wire::Envelope message;
};

/** A live balancer as reported by the membership. */
struct MemberView {
    BalancerId id;
    std::string name;
    PeerAddress address;
    PeerAddress httpAddress;
    std::string availabilityZone;
    std::string region;
    wire::MemberState state = wire::JOINING;
};

/** A peer on which a configuration revision is in force and from which it can be fetched. */
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
    std::uint64_t clockGaps = 0; ///< Pauses of the process and jumps of its clock.
    std::uint64_t staleSenders = 0; ///< Messages from an earlier incarnation of a member.
    std::uint64_t olderEntries = 0; ///< Entries older than the known version.
    std::uint64_t syncs = 0; ///< Anti-entropy exchanges started.
};

/**
 * Membership of balancers by gossip, and the dissemination of target entries and configuration revisions among them.
 * The core has no sockets, threads or clock: the same sequence of events always produces the same actions.
 * Call tick() every 100 ms.
 */
class MembershipCore
{
public:
    explicit MembershipCore(MembershipSettings settings);

    /** Handles an authenticated message from another balancer. */
    void handleMessage(Timestamp now, const PeerAddress &from, const wire::Gossip &message);

    void tick(Timestamp now);

    /** Returns and clears the messages to send. */
    std::vector<MembershipSend> takeActions();

    /** Sets the configuration that is in force on this balancer. */
    void setConfiguration(Revision revision, std::uint64_t digest);

    /** Stores the entry of a target that announces itself here. Call it on each announcement and at the lease's end. */
    void setTarget(const wire::TargetEntry &entry);

    /** Returns the target entries received from other balancers since the last call, for BalancerCore::mergeTarget. */
    std::vector<wire::TargetEntry> takeChangedTargets();

    /** Returns all live balancers, including this one, ordered by id. */
    std::vector<MemberView> members() const;

    /** Returns a peer with the highest revision to fetch it from; none if no known revision is above the local one. */
    std::optional<ConfigurationPeer> newestConfigurationPeer() const;

    /** Requests in-force summaries for the next 10 s. Call it whenever an operator reads a status. */
    void watchInForce(Timestamp now);
    InForceCount inForceCount(Revision revision) const;

    /** Requests the members of a service from a peer. Used by a balancer that does not have all target entries yet. */
    void requestService(Timestamp now, ServiceId service);

    /** Announces that this balancer leaves. The process may exit once the result of takeActions() has been sent. */
    void leave(Timestamp now);

    /** Returns the number of members that this balancer suspects of having failed. */
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

    /** The time since which a table differs from a peer's table, and that peer. Index 0 is members, 1 is targets. */
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
    /** Checks incarnation and state of the sender. Returns false if it is an earlier incarnation of a known member. */
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

    /**
     * The latest entries of the targets that announce themselves here. The sequence may be higher than that of the
     * entry last sent to peers.
     */
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
    /** Time of the last event on the caller's clock. */
    Timestamp lastEvent_;
    /** Running time of this process. A pause or a jump of the clock adds at most 1 s. */
    Timestamp now_;
    std::uint32_t joinAttempts_ = 0;
    Timestamp nextJoin_;
    Timestamp nextTombstoneProbe_;
    Timestamp nextRemoteContact_;
    Timestamp nextSync_;
    Timestamp nextExpiry_;
    /** Differences from the tables of peers, by region. */
    std::map<std::string, Difference> differences_;
};

} // namespace rhubarblane

#endif
