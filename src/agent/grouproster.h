#ifndef RHUBARBLANE_AGENT_GROUPROSTER_H
#define RHUBARBLANE_AGENT_GROUPROSTER_H

#include "base/ids.h"
#include "wire/generated/rhubarblane.pb.h"

#include <optional>
#include <vector>

namespace rhubarblane
{

/** The members of one service's group as this agent knows them. */
class GroupRoster
{
public:
    /**
     * Takes over an entry if it is newer than the known one: a higher incarnation, or the same with a higher sequence.
     * Returns true if the roster changed.
     */
    bool merge(const wire::TargetEntry &entry);

    const wire::TargetEntry *find(TargetId target) const;

    /** The member that decides where a flow goes; none if the roster is empty. */
    std::optional<TargetId> homeOf(FlowHash flow) const;

    /** Equal digests mean equal members, incarnations and states. */
    std::uint64_t digest() const;

    const std::vector<wire::TargetEntry> &entries() const
    {
        return entries_;
    }

private:
    // Sorted by target id, so that iteration and digest do not depend on the order of arrival.
    std::vector<wire::TargetEntry> entries_;
};

} // namespace rhubarblane

#endif
