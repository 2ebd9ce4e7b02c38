#ifndef RHUBARBLANE_AGENT_QUORUMTRACKER_H
#define RHUBARBLANE_AGENT_QUORUMTRACKER_H

#include "agent/grouproster.h"

#include <functional>
#include <set>
#include <utility>

namespace rhubarblane
{

/**
 * Decides whether a majority has the current roster. A new roster needs a majority of the last confirmed roster as
 * well: if different members declare two members gone at the same time, the group could otherwise split into two halves
 * that each have a majority of their own roster.
 */
class QuorumTracker
{
public:
    /** Returns true if the member with this id is known to have the current roster. */
    using RosterPredicate = std::function<bool(std::uint64_t)>;

    /** Confirms the roster if majorities of it and of the last confirmed roster have it. Returns true if so. */
    bool confirm(const GroupRoster &roster, const RosterPredicate &hasRoster);

    /** Adopts the voters of a new group's roster, or of a roster that another member has confirmed. */
    void adopt(const GroupRoster &roster);

    /** Discards the confirmed voters, for a member that has to be admitted again. */
    void reset();

    /** Excludes a member that an operator removed permanently from the confirmed voters. */
    void remove(TargetId target);

private:
    /** Pairs of target id and incarnation. */
    using Voters = std::set<std::pair<std::uint64_t, std::uint64_t>>;

    static Voters votersOf(const GroupRoster &roster);
    static bool isMajority(const Voters &voters, const GroupRoster &roster, const RosterPredicate &hasRoster);

    Voters confirmed_;
};

} // namespace rhubarblane

#endif
