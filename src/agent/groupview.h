#ifndef RHUBARBLANE_AGENT_GROUPVIEW_H
#define RHUBARBLANE_AGENT_GROUPVIEW_H

#include "agent/agentaction.h"
#include "agent/grouproster.h"
#include "agent/quarantine.h"
#include "agent/quorumtracker.h"
#include "base/clock.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace rhubarblane
{

/** Time without contact after which a member is declared gone. */
constexpr Milliseconds GoneTimeout(4000);

/**
 * Membership of this agent in the group of its service: its own entry, the roster, heartbeats and the majority lease.
 * All times are steady, so they never go back.
 */
class GroupView
{
public:
    explicit GroupView(wire::TargetEntry self);

    /** Joins the group of a service. */
    void start(Timestamp now, ServiceId service, bool atMostOnce);

    /**
     * Merges a member's entry received from a balancer. Entries in state GONE are ignored, because balancers do not
     * declare members gone.
     */
    void mergeFromBalancer(Timestamp now, const wire::TargetEntry &entry);

    /** Handles the removal of a member by an operator. The member is declared gone if it has timed out. */
    void remove(Timestamp now, TargetId target);

    /** Handles a heartbeat. Returns false if it is from an older incarnation. */
    bool handle(Timestamp now, const PeerAddress &from, const wire::Heartbeat &message);

    void tick(Timestamp now, const wire::Load &load);

    /**
     * Handles an interruption of the process. Messages of peers may have been lost meanwhile, so their timeouts
     * restart.
     */
    void handlePause(Timestamp now);

    /** Handles a backward jump of the clock. The age of all leases is unknown afterwards, so they are dropped. */
    void handleClockJump(Timestamp now);

    void beginDrain(Timestamp now);

    /** Leaves the group voluntarily. Only allowed without open flows. */
    void leave(Timestamp now);

    void setCapacity(Timestamp now, std::uint32_t capacityMilli);

    /** Announces that this member's flows are registered at their homes by the current roster. */
    void setRegistered(Timestamp now);

    bool isRegistered() const
    {
        return registeredDigest_ == roster_.digest();
    }

    /** Returns true while a majority of the group, within the lease, has confirmed that it has the same roster. */
    bool hasMajority(Timestamp now);

    /** Returns true if all flows and decisions of the member are registered at their homes by the current roster. */
    bool hasRegistered(TargetId member) const;

    /** Returns the members that may have records of flows that are not registered at their homes yet. */
    std::vector<TargetId> unregisteredMembers() const;

    /** Returns the members that this home has to query about a flow before it decides. */
    std::vector<TargetId> membersToQuery(FlowHash flow) const;

    /** Returns a number that changes whenever flows may have a different home. */
    std::uint64_t homeVersion() const
    {
        return homeVersion_;
    }

    /**
     * Returns the home of a flow, which decides its placement. In groups without `atMostOnce` suspected members are
     * skipped.
     */
    std::optional<TargetId> homeOf(FlowHash flow) const;

    /**
     * Returns true while a gone member may have decided this flow and duplicates of its opening packet may still
     * arrive.
     */
    bool isInQuarantine(Timestamp now, FlowHash flow) const;

    /** Returns true if a member is suspected but not declared gone, so that its flows are not known to have ended. */
    bool hasUnresolvedSuspicion() const;

    bool hasSuspectedMembers() const
    {
        return !suspected_.empty();
    }

    /** Returns true for a member that has missed several heartbeats. New flows avoid it if possible. */
    bool isUnresponsive(Timestamp now, TargetId member) const;

    /** Returns true for a member that is known, not gone and of this incarnation. */
    bool isLive(TargetId target, std::uint64_t incarnation) const;

    /** Returns true if a newer process with this target's name exists. */
    bool isSuperseded() const
    {
        return superseded_;
    }

    const wire::TargetEntry &self() const
    {
        return self_;
    }
    TargetId id() const
    {
        return TargetId(self_.target());
    }
    const GroupRoster &roster() const
    {
        return roster_;
    }

    /** Returns the last reported load of a member; null if unknown. */
    const wire::Load *loadOf(TargetId member) const;

    /**
     * Returns how often this agent rejoined after it had been declared gone. Each time its registrations start over.
     */
    std::uint64_t rejoins() const
    {
        return rejoins_;
    }

    /** Returns the messages that became due since the last call. Changes of the roster are broadcast immediately. */
    std::vector<SendMessage> takeMessages(Timestamp now);

private:
    struct Peer {
        Timestamp lastContact;
        std::uint64_t lastSentMs = 0;
        /**
         * Sending time, by this agent's clock, of the last heartbeat that the peer answered with the current roster
         * digest. The majority lease counts from this time.
         */
        std::optional<Timestamp> leaseStart;
        std::uint64_t registeredDigest = 0;
        bool hasMajority = false;
        bool heartbeatReceived = false;
        wire::Load load;
        std::optional<Timestamp> goneSince;
    };

    bool merge(Timestamp now, const wire::TargetEntry &entry);
    void mergeSelf(Timestamp now, const wire::TargetEntry &entry);
    void changeState(Timestamp now, wire::MemberState state);
    void rosterChanged();
    void updateSuspicion(Timestamp now);
    void declareGone(Timestamp now);
    void admitSelf(Timestamp now);
    void expireGone(Timestamp now);
    void broadcast(Timestamp now);
    void sendHeartbeat(Timestamp now, const wire::TargetEntry &to, bool withEntries, bool reply, bool wantEntries);
    bool mayKnowFlows(const wire::TargetEntry &entry) const;
    bool isSilent(Timestamp now, const wire::TargetEntry &entry) const;
    std::size_t voterCount() const;

    wire::TargetEntry self_;
    GroupRoster roster_;
    std::map<std::uint64_t, Peer> peers_;
    QuorumTracker quorum_;
    std::vector<std::uint64_t> suspected_;
    Quarantine quarantine_;
    wire::Load load_;
    std::uint64_t registeredDigest_ = 0;
    std::uint64_t leaseDigest_ = 0;
    std::uint64_t homeVersion_ = 0;
    std::uint64_t rejoins_ = 0;
    Timestamp earliestLeaseStart_;
    Timestamp nextHeartbeat_;
    unsigned round_ = 0;
    bool started_ = false;
    bool atMostOnce_ = false;
    bool broadcastDue_ = false;
    bool draining_ = false;
    bool superseded_ = false;
    std::vector<SendMessage> messages_;
};

} // namespace rhubarblane

#endif
