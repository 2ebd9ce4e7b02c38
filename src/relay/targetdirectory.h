#ifndef RHUBARBLANE_RELAY_TARGETDIRECTORY_H
#define RHUBARBLANE_RELAY_TARGETDIRECTORY_H

#include "base/clock.h"
#include "relay/peerdirectory.h"
#include "relay/relaytypes.h"
#include "relay/reportinterval.h"
#include "wire/generated/relay.pb.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace rhubarblane
{

/** What a balancer believes of one target and its agent. */
struct KnownTarget {
    Peer agent;
    GroupId group;
    std::string groupName;
    bool sameZone = false;

    TargetState state = TargetState::Unknown;
    std::uint64_t sequence = 0;
    std::uint32_t slots = 1;
    std::uint32_t busy = 0;
    std::uint32_t opening = 0;
    std::uint32_t openFlows = 0;
    double serviceTimeMs = 0.0;
    double utilization = 0.0;

    Timestamp lastContact;
    /** When the load was reported. */
    Timestamp loadTime;
    Milliseconds reportInterval = ShortestReportInterval;
    /** New flows of this balancer that the last load does not count yet. */
    std::uint32_t offered = 0;
    /** An offer had no answer, and nothing has been heard since. */
    bool offerUnanswered = false;
};

/** The targets whose agents report to a balancer. */
class TargetDirectory
{
public:
    explicit TargetDirectory(std::string availabilityZone);

    /** Returns true if the target is new or its state changed. */
    bool report(Timestamp now, const Peer &agent, const wire::relay::Report &report);

    /** A load that came with another message. Ignored if the target is unknown or the load is outdated. */
    void updateLoad(Timestamp now, const PeerAddress &agent, const wire::relay::Load &load);

    void noteOffer(const PeerAddress &agent);
    void noteUnansweredOffer(const PeerAddress &agent);

    /** The agent has ended after its target. */
    void remove(const PeerAddress &agent);

    /** Forgets targets without a report for the retention period and returns their agents. */
    std::vector<Peer> expire(Timestamp now);

    const KnownTarget *find(const PeerAddress &agent) const;

    /** All targets of a group that the balancer knows. The pointers are valid until the next change. */
    std::vector<const KnownTarget *> ofGroup(GroupId group) const;

    /** Whether the target can get new flows now. An ejected one can if too many others are ejected. */
    static bool isUsable(Timestamp now, const KnownTarget &target);

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
    std::map<PeerAddress, KnownTarget> targets_;
    std::unordered_map<GroupId, std::vector<PeerAddress>> groups_;
};

} // namespace rhubarblane

#endif
