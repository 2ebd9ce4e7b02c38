#ifndef RHUBARBLANE_RELAY_TARGETDIRECTORY_H
#define RHUBARBLANE_RELAY_TARGETDIRECTORY_H

#include "base/clock.h"
#include "relay/peerdirectory.h"
#include "relay/relaytypes.h"
#include "relay/reportinterval.h"
#include "wire/generated/relay.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace rhubarblane
{

/** A balancer's view of one target and its agent. */
struct KnownTarget {
    Peer agent;
    GroupId group;
    std::string groupName;
    bool sameZone = false;
    /** The availability zone is evacuated, so the target gets no new flows. */
    bool evacuated = false;

    TargetState state = TargetState::Unknown;
    /** The target has run, also beside an earlier start of the agent, and is not known to have ended. */
    bool hasRun = false;
    std::uint64_t sequence = 0;
    std::uint32_t slots = 1;
    std::uint32_t busy = 0;
    std::uint32_t opening = 0;
    std::uint32_t openFlows = 0;
    double serviceTimeMs = 0.0;
    double utilization = 0.0;
    /** Until this time the target has a lower capacity after its start. */
    Timestamp coldUntil;
    /** Number of new flows that the cold target may still get as of its load; no value if no limit is known. */
    std::optional<std::uint32_t> coldOpeningsLeft;

    Timestamp lastContact;
    /** Time at which the current load was received. */
    Timestamp loadTime;
    Milliseconds reportInterval = ShortestReportInterval;
    /** Flows that this balancer offered since the last load. */
    std::uint32_t offered = 0;
    /** An offer timed out, and no message of the agent has arrived since. */
    bool offerUnanswered = false;
};

/** The targets whose agents report to a balancer. */
class TargetDirectory
{
public:
    explicit TargetDirectory(std::string availabilityZone);

    /** Returns true if the target is new or its state changed. */
    bool report(Timestamp now, const Peer &agent, const wire::relay::Report &report);

    /** Applies a load that came with another message. It is ignored if the target is unknown or the load outdated. */
    void updateLoad(Timestamp now, const PeerAddress &agent, const wire::relay::Load &load);

    /**
     * Marks the targets of these availability zones, and of no others, as evacuated. Returns the zones without a known
     * target.
     */
    std::set<std::string> setEvacuatedZones(const std::set<std::string> &zones);

    void noteOffer(const PeerAddress &agent);
    void noteUnansweredOffer(const PeerAddress &agent);

    /** Removes a target that has ended together with its agent. */
    void remove(const PeerAddress &agent);

    /** Removes the targets whose agents sent no message for the retention period, and returns these agents. */
    std::vector<Peer> expire(Timestamp now);

    /**
     * Returns true if a target of the group has expired, whose end nobody announced, while flows that it may hold are
     * not older than the maximum age of a flow.
     */
    bool mayHaveVanished(Timestamp now, GroupId group) const;

    /** Returns the groups for which mayHaveVanished() holds of a target that ran as of its agent's last message. */
    std::vector<GroupId> groupsOfVanishedTargets(Timestamp now) const;

    const KnownTarget *find(const PeerAddress &agent) const;

    /** Returns all known targets of a group. The pointers are valid until the next change. */
    std::vector<const KnownTarget *> ofGroup(GroupId group) const;

    /** Returns true if the target can get new flows. Ejected targets are included; FlowPlacement limits their use. */
    static bool isUsable(Timestamp now, const KnownTarget &target);

    /** Returns true if the agent's reports are not overdue. */
    static bool isReporting(Timestamp now, const KnownTarget &target);

    std::size_t size() const
    {
        return targets_.size();
    }

    const std::map<PeerAddress, KnownTarget> &all() const
    {
        return targets_;
    }

private:
    void removeFromGroup(const KnownTarget &target);
    static void apply(Timestamp now, KnownTarget &target, const wire::relay::Load &load);

    std::string availabilityZone_;
    std::set<std::string> evacuatedZones_;
    std::map<PeerAddress, KnownTarget> targets_;
    std::unordered_map<GroupId, std::vector<PeerAddress>> groups_;
    struct Vanished {
        Timestamp lastContact; ///< Time of the last message of the target that expired last.
        std::optional<Timestamp> lastRun; ///< The same of the last one that ran.
    };

    std::unordered_map<GroupId, Vanished> vanished_;
};

} // namespace rhubarblane

#endif
