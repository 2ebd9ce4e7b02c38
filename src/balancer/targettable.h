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

/** A target with its lease, if it announces itself to this balancer. */
struct KnownTarget {
    wire::TargetEntry entry;
    ServiceId service;
    /** End of the lease on the local clock; absent for a target known only through other balancers. */
    std::optional<Timestamp> leaseEnd;
    wire::Load load;
    std::uint64_t configurationRevision = 0;
    /** Index of the target in the table's list of routes. */
    std::uint32_t index = 0;
};

/** The fields of a target that forwarding reads. Kept small, so that the targets of a service fit a few cache lines. */
struct TargetRoute {
    TargetId target;
    std::uint64_t incarnation = 0;
    PeerAddress address;
    wire::MemberState state = wire::JOINING;
};

/** All targets known to a balancer, by id and by service. */
class TargetTable
{
public:
    /** Stores an entry if it is newer than the known one. Returns true if the table changed. */
    bool merge(const wire::TargetEntry &entry);

    /**
     * Stores an entry announced by the target itself and renews its lease. An equal sequence is accepted, so that a
     * target whose lease expired becomes live again. Returns null if a newer entry is known.
     */
    KnownTarget *announce(const wire::TargetEntry &entry, Timestamp leaseEnd);

    const KnownTarget *find(TargetId target) const;

    /** Binds a target to a service. ServiceId() unbinds it. */
    void bind(TargetId target, ServiceId service);

    /**
     * Returns the home of a flow: the target with the highest rendezvous score among the serving targets of the
     * service, or among its draining ones if none serves. Returns null if there is neither.
     */
    const TargetRoute *homeOf(ServiceId service, FlowHash flow) const;

    /** Returns true if the target with this index is live and has this incarnation. */
    bool isAlive(std::uint32_t index, std::uint64_t incarnation) const
    {
        return liveIncarnations_[index] == incarnation;
    }

    /** Returns all targets bound to the service. */
    std::vector<const KnownTarget *> membersOf(ServiceId service) const;

    /** Marks targets whose lease ended as gone. Returns their number. */
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
    /** Incarnation of each target by index; 0 for a target that is gone. */
    std::vector<std::uint64_t> liveIncarnations_;
    std::unordered_map<ServiceId, std::vector<TargetRoute>> members_;
};

} // namespace rhubarblane

#endif
