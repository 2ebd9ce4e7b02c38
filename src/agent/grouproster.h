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
     * At an equal sequence the higher state wins, so that GONE is not lost against a change of the member itself.
     * Returns true if the roster changed.
     */
    bool merge(const wire::TargetEntry &entry);

    /** Raises the highest known state sequence. Returns true if it changed. */
    bool mergeStateSequence(std::uint64_t stateSequence);

    /** Forgets a member. Only for members that have been gone for so long that no message of them exists any more. */
    void erase(TargetId target);

    const wire::TargetEntry *find(TargetId target) const;

    /** The member that decides where a flow goes, without the sorted `excluded`; none if no member is left. */
    std::optional<TargetId> homeOf(FlowHash flow, const std::vector<std::uint64_t> &excluded = {}) const;

    /**
     * The home that the flow would have if `extra` served as well, to find the share of a member that has gone.
     */
    bool wouldBeHome(FlowHash flow, TargetId extra) const;

    /**
     * Equal digests mean equal live members, incarnations and states. An agent never returns to an earlier digest,
     * because the highest state sequence is part of it.
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

/** True for members that count towards a majority. */
inline bool isVoter(const wire::TargetEntry &entry)
{
    return entry.state() == wire::SERVING || entry.state() == wire::DRAINING;
}

} // namespace rhubarblane

#endif
