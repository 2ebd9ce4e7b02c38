#ifndef RHUBARBLANE_BALANCER_TARGETTABLE_H
#define RHUBARBLANE_BALANCER_TARGETTABLE_H

#include "base/clock.h"
#include "base/ids.h"
#include "wire/generated/rhubarblane.pb.h"
#include "wire/peeraddress.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace rhubarblane
{

/** A known target, with its lease if it announces itself to this balancer. */
struct KnownTarget {
    wire::TargetEntry entry;
    ServiceId service;
    /** End of the lease on this process's clock; absent for a target known only from other balancers. */
    std::optional<Timestamp> leaseEnd;
    wire::Load load;
    std::uint64_t configurationRevision = 0;
    /** Position of the target in the table's compact list. */
    std::uint32_t index = 0;
};

/** What forwarding needs of a target; small, so that the targets of one service lie in a few cache lines. */
struct TargetRoute {
    TargetId target;
    std::uint64_t incarnation = 0;
    PeerAddress address;
    wire::MemberState state = wire::JOINING;
};

/** All targets that a balancer knows, by id and by service. */
class TargetTable
{
public:
    /** Takes over an entry if it is newer than the known one. Returns true if the table changed. */
    bool merge(const wire::TargetEntry &entry);

    /**
     * Takes over an entry that its own target announced, also at an equal sequence: it ends an expiry.
     * Returns null if a later entry is known.
     */
    KnownTarget *announce(const wire::TargetEntry &entry, Timestamp leaseEnd);

    const KnownTarget *find(TargetId target) const;

    /** Binds a target to a service; ServiceId() unbinds it. */
    void bind(TargetId target, ServiceId service);

    /** The home of a flow among the service's serving targets, else among its draining ones; null if none. */
    const TargetRoute *homeOf(ServiceId service, FlowHash flow) const;

    /** True if the target at this position still runs with this incarnation. */
    bool isAlive(std::uint32_t index, std::uint64_t incarnation) const
    {
        return liveIncarnations_[index] == incarnation;
    }

    /** The entries of all targets bound to the service. */
    std::vector<const KnownTarget *> membersOf(ServiceId service) const;

    /** Marks targets gone whose lease ended. Returns how many. */
    std::size_t expire(Timestamp now);

    const std::unordered_map<TargetId, KnownTarget> &all() const
    {
        return targets_;
    }

private:
    KnownTarget &findOrInsert(TargetId target);
    void updateRoute(const KnownTarget &known);

    std::unordered_map<TargetId, KnownTarget> targets_;
    std::vector<TargetRoute> routes_;
    /** By index; 0 for a target that is gone. */
    std::vector<std::uint64_t> liveIncarnations_;
    std::unordered_map<ServiceId, std::vector<TargetRoute>> members_;
};

} // namespace rhubarblane

#endif
