#ifndef RHUBARBLANE_MEMBERSHIP_MEMBERSHIPCORE_H
#define RHUBARBLANE_MEMBERSHIP_MEMBERSHIPCORE_H

#include "membership/membershipsettings.h"

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

/** On how many balancers a revision, or a later one, is in force. */
struct InForceCount {
    std::size_t inForce = 0;
    std::size_t members = 0;
    /** Names of balancers on an earlier revision or without a report; not all of them if they are many. */
    std::vector<std::string> lagging;
    /** False while the summary of an availability zone is missing. */
    bool complete = false;
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

private:
    void send(const PeerAddress &to, wire::Gossip::Kind kind);
    void fill(wire::Gossip &message) const;

    MembershipSettings settings_;
    std::mt19937_64 random_;
    wire::BalancerEntry self_;
    std::map<BalancerId, wire::BalancerEntry> members_;
    std::map<TargetId, wire::TargetEntry> targets_;
    std::vector<wire::TargetEntry> changedTargets_;
    std::vector<MembershipSend> actions_;
    Timestamp nextRound_;
};

} // namespace rhubarblane

#endif
