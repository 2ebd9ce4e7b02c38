#ifndef RHUBARBLANE_AGENT_QUORUMTRACKER_H
#define RHUBARBLANE_AGENT_QUORUMTRACKER_H

#include "agent/grouproster.h"

#include <functional>
#include <set>
#include <utility>

namespace rhubarblane
{

/**
 * Counts majorities of successive rosters. A new roster needs a majority of the last confirmed one as well: two members
 * that are declared gone at the same time by different members could otherwise leave two halves with a majority each.
 */
class QuorumTracker
{
public:
    /** Tells whether a member is known to have the current roster, by its id. */
    using RosterPredicate = std::function<bool(std::uint64_t)>;

    /** True, and the roster is confirmed, if a majority of it and of the last confirmed one has the roster. */
    bool confirm(const GroupRoster &roster, const RosterPredicate &hasRoster);

    /** Takes over the voters of a roster that another member has confirmed, or of a new group. */
    void adopt(const GroupRoster &roster);

    void reset();

    /** An operator removed the member for good. */
    void remove(TargetId target);

private:
    /** Target and incarnation. */
    using Voters = std::set<std::pair<std::uint64_t, std::uint64_t>>;

    static Voters votersOf(const GroupRoster &roster);
    static bool isMajority(const Voters &voters, const GroupRoster &roster, const RosterPredicate &hasRoster);

    Voters confirmed_;
};

} // namespace rhubarblane

#endif
