#include "agent/quorumtracker.h"

#include <iterator>

namespace rhubarblane
{

bool QuorumTracker::confirm(const GroupRoster &roster, const RosterPredicate &hasRoster)
{
    Voters current = votersOf(roster);
    if (!isMajority(current, roster, hasRoster)
        || (!confirmed_.empty() && !isMajority(confirmed_, roster, hasRoster))) {
        return false;
    }
    confirmed_ = std::move(current);
    return true;
}

void QuorumTracker::adopt(const GroupRoster &roster)
{
    confirmed_ = votersOf(roster);
}

void QuorumTracker::reset()
{
    confirmed_.clear();
}

void QuorumTracker::remove(TargetId target)
{
    for (auto position = confirmed_.begin(); position != confirmed_.end();) {
        position = position->first == target.value() ? confirmed_.erase(position) : std::next(position);
    }
}

QuorumTracker::Voters QuorumTracker::votersOf(const GroupRoster &roster)
{
    Voters result;
    for (const wire::TargetEntry &entry : roster.entries()) {
        if (isVoter(entry)) {
            result.emplace(entry.target(), entry.incarnation());
        }
    }
    return result;
}

bool QuorumTracker::isMajority(const Voters &voters, const GroupRoster &roster, const RosterPredicate &hasRoster)
{
    std::size_t counted = 0;
    std::size_t all = 0;
    for (const auto &[target, incarnation] : voters) {
        const wire::TargetEntry *entry = roster.find(TargetId(target));
        // A member that left, or was replaced by a newer incarnation, no longer takes decisions.
        if (entry == nullptr || entry->incarnation() > incarnation || entry->left()) {
            continue;
        }
        ++all;
        counted += entry->state() != wire::GONE && hasRoster(target) ? 1 : 0;
    }
    return counted * 2 > all;
}

} // namespace rhubarblane
