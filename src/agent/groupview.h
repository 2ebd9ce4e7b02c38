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

/** Silence after which a member is declared gone. */
constexpr Milliseconds GoneTimeout(4000);

/**
 * This agent's part in the group of its service: its own entry, the roster, heartbeats and the majority lease.
 * Times are steady: they never go back.
 */
class GroupView
{
public:
    explicit GroupView(wire::TargetEntry self);

    /** Starts to take part in the group of a service. */
    void start(Timestamp now, ServiceId service, bool atMostOnce);

    /** Takes over what a balancer knows of a member. Balancers do not declare members gone. */
    void mergeFromBalancer(Timestamp now, const wire::TargetEntry &entry);

    /** An operator removed the member; it counts as gone if it is silent. */
    void remove(Timestamp now, TargetId target);

    /** Handles a heartbeat. Returns false if it is of an older incarnation. */
    bool handle(Timestamp now, const PeerAddress &from, const wire::Heartbeat &message);

    void tick(Timestamp now, const wire::Load &load);

    /** The process was interrupted: what peers sent meanwhile may be lost, so their silence is counted anew. */
    void handlePause(Timestamp now);

    /** The clock went back: the age of the lease is unknown. */
    void handleClockJump(Timestamp now);

    void beginDrain(Timestamp now);

    /** Marks this member as gone by its own will. Only without open flows. */
    void leave(Timestamp now);

    void setCapacity(Timestamp now, std::uint32_t capacityMilli);

    /** Tells the group that this member's flows are registered at their homes by the current roster. */
    void setRegistered(Timestamp now);

    bool isRegistered() const
    {
        return registeredDigest_ == roster_.digest();
    }

    /** True while this agent has heard from a majority that has the same roster, within the lease. */
    bool hasMajority(Timestamp now);

    /** True if all flows and decisions of the member are known at their homes by the current roster. */
    bool hasRegistered(TargetId member) const;

    /** The members that may know flows that are not registered at their homes yet. */
    std::vector<TargetId> unregisteredMembers() const;

    /** The members that this home has to ask about a flow before it decides. */
    std::vector<TargetId> membersToQuery(FlowHash flow) const;

    /** Changes whenever flows may have got another home. */
    std::uint64_t homeVersion() const
    {
        return homeVersion_;
    }

    /** The member that decides a flow. Without `atMostOnce` silent members are passed over. */
    std::optional<TargetId> homeOf(FlowHash flow) const;

    /** True while a gone member may have decided this flow and copies of its opening packet may be under way. */
    bool isInQuarantine(Timestamp now, FlowHash flow) const;

    /** True if a member is silent but not declared gone, so that its flows are not known to have ended. */
    bool hasUnresolvedSuspicion() const;

    bool hasSuspectedMembers() const
    {
        return !suspected_.empty();
    }

    /** True for a member that has missed several heartbeats; new flows go elsewhere if possible. */
    bool isUnresponsive(Timestamp now, TargetId member) const;

    /** True for a member that is known, not gone and of this incarnation. */
    bool isLive(TargetId target, std::uint64_t incarnation) const;

    /** A newer process with this target's name exists. */
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

    /** Last reported load of a member; null if unknown. */
    const wire::Load *loadOf(TargetId member) const;

    /** How often this agent returned after it was declared gone; its registrations start over each time. */
    std::uint64_t rejoins() const
    {
        return rejoins_;
    }

    /** Heartbeats since the last call; changes of the roster are sent at once. */
    std::vector<SendMessage> takeMessages(Timestamp now);

private:
    struct Peer {
        Timestamp lastContact;
        std::uint64_t lastSentMs = 0;
        /** Own sending time of the last heartbeat that the peer answered with the current roster digest. */
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
