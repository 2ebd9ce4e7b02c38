#ifndef RHUBARBLANE_AGENT_GROUPROSTER_H
#define RHUBARBLANE_AGENT_GROUPROSTER_H

#include "base/ids.h"
#include "wire/generated/rhubarblane.pb.h"

#include <optional>
#include <vector>

namespace rhubarblane
{

/** The members of one service's group, as known to this agent. */
class GroupRoster
{
public:
    /**
     * Replaces an entry if the given one is newer: it has a higher incarnation, or the same incarnation and a higher
     * sequence. At an equal sequence the higher state wins, so that GONE is not lost to a concurrent change by the
     * member itself. Returns true if the roster changed.
     */
    bool merge(const wire::TargetEntry &entry);

    /** Raises the highest known state sequence. Returns true if it changed. */
    bool mergeStateSequence(std::uint64_t stateSequence);

    /**
     * Removes a member. Only allowed for a member that has been gone for longer than any of its messages can survive.
     */
    void erase(TargetId target);

    const wire::TargetEntry *find(TargetId target) const;

    /**
     * Returns the home of a flow: the member that decides its placement. The members in the sorted list `excluded` are
     * not considered. Returns nothing if no member is left.
     */
    std::optional<TargetId> homeOf(FlowHash flow, const std::vector<std::uint64_t> &excluded = {}) const;

    /**
     * Returns true if `extra` would be the flow's home if it served as well. This identifies the flows of a member that
     * has gone.
     */
    bool wouldBeHome(FlowHash flow, TargetId extra) const;

    /**
     * Returns a digest of the live members, their incarnations and their states. An agent never returns to an earlier
     * digest, because the digest includes the highest state sequence.
     */
    std::uint64_t digest() const
    {
        return digest_;
    }

    std::uint64_t highestStateSequence() const
    {
        return highestStateSequence_;
    }

    const std::vector<wire::TargetEntry> &entries() const
    {
        return entries_;
    }

private:
    void updateDigest();

    // Sorted by target id, so that iteration and digest do not depend on the order of arrival.
    std::vector<wire::TargetEntry> entries_;
    std::uint64_t highestStateSequence_ = 0;
    std::uint64_t digest_ = 0;
};

/** Returns true for members that count towards a majority. */
inline bool isVoter(const wire::TargetEntry &entry)
{
    return entry.state() == wire::SERVING || entry.state() == wire::DRAINING;
}

} // namespace rhubarblane

#endif
