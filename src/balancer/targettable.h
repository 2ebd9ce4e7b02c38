#ifndef RHUBARBLANE_BALANCER_TARGETTABLE_H
#define RHUBARBLANE_BALANCER_TARGETTABLE_H

#include "base/clock.h"
#include "base/ids.h"
#include "wire/generated/rhubarblane.pb.h"

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
};

/** All targets that a balancer knows, by id and by service. */
class TargetTable
{
public:
    /** Takes over an entry if it is newer than the known one. Returns true if the table changed. */
    bool merge(const wire::TargetEntry &entry);

    KnownTarget *find(TargetId target);

    /** Binds a target to a service; ServiceId() unbinds it. */
    void bind(TargetId target, ServiceId service);

    /** The home of a flow among the service's serving targets, else among its draining ones; null if none. */
    const KnownTarget *homeOf(ServiceId service, FlowHash flow) const;

    /** The entries of all targets bound to the service. */
    std::vector<const KnownTarget *> membersOf(ServiceId service) const;

    /** Marks targets gone whose lease ended. Returns how many. */
    std::size_t expire(Timestamp now);

    const std::unordered_map<TargetId, KnownTarget> &all() const
    {
        return targets_;
    }

private:
    void unlist(TargetId target, ServiceId service);

    std::unordered_map<TargetId, KnownTarget> targets_;
    std::unordered_map<ServiceId, std::vector<TargetId>> members_;
};

} // namespace rhubarblane

#endif
