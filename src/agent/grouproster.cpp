#include "agent/grouproster.h"

#include "base/hash.h"
#include "base/rendezvous.h"

#include <algorithm>

namespace rhubarblane
{

namespace
{

bool isNewer(const wire::TargetEntry &candidate, const wire::TargetEntry &known)
{
    if (candidate.incarnation() != known.incarnation()) {
        return candidate.incarnation() > known.incarnation();
    }
    if (candidate.sequence() != known.sequence()) {
        return candidate.sequence() > known.sequence();
    }
    return candidate.state() > known.state();
}

bool isBefore(const wire::TargetEntry &entry, std::uint64_t target)
{
    return entry.target() < target;
}

std::optional<TargetId> bestInState(const std::vector<wire::TargetEntry> &entries,
                                    FlowHash flow,
                                    wire::MemberState state,
                                    const std::vector<std::uint64_t> &excluded)
{
    std::optional<TargetId> best;
    std::uint64_t bestScore = 0;
    for (const wire::TargetEntry &entry : entries) {
        if (entry.state() != state || std::binary_search(excluded.begin(), excluded.end(), entry.target())) {
            continue;
        }
        const TargetId target(entry.target());
        const std::uint64_t score = rendezvousScore(flow, target);
        if (!best || score > bestScore) {
            best = target;
            bestScore = score;
        }
    }
    return best;
}

} // namespace

bool GroupRoster::merge(const wire::TargetEntry &entry)
{
    const auto position = std::lower_bound(entries_.begin(), entries_.end(), entry.target(), isBefore);
    if (position == entries_.end() || position->target() != entry.target()) {
        entries_.insert(position, entry);
        highestStateSequence_ = std::max(highestStateSequence_, entry.state_sequence());
        updateDigest();
        return true;
    }
    if (!isNewer(entry, *position)) {
        return false;
    }
    *position = entry;
    highestStateSequence_ = std::max(highestStateSequence_, entry.state_sequence());
    updateDigest();
    return true;
}

bool GroupRoster::mergeStateSequence(std::uint64_t stateSequence)
{
    if (stateSequence <= highestStateSequence_) {
        return false;
    }
    highestStateSequence_ = stateSequence;
    updateDigest();
    return true;
}

void GroupRoster::erase(TargetId target)
{
    const auto position = std::lower_bound(entries_.begin(), entries_.end(), target.value(), isBefore);
    if (position != entries_.end() && position->target() == target.value()) {
        entries_.erase(position);
        updateDigest();
    }
}

const wire::TargetEntry *GroupRoster::find(TargetId target) const
{
    const auto position = std::lower_bound(entries_.begin(), entries_.end(), target.value(), isBefore);
    if (position == entries_.end() || position->target() != target.value()) {
        return nullptr;
    }
    return &*position;
}

std::optional<TargetId> GroupRoster::homeOf(FlowHash flow, const std::vector<std::uint64_t> &excluded) const
{
    const std::optional<TargetId> serving = bestInState(entries_, flow, wire::SERVING, excluded);
    if (serving) {
        return serving;
    }
    return bestInState(entries_, flow, wire::DRAINING, excluded);
}

bool GroupRoster::wouldBeHome(FlowHash flow, TargetId extra) const
{
    const std::optional<TargetId> home = bestInState(entries_, flow, wire::SERVING, {});
    return !home || rendezvousScore(flow, extra) > rendezvousScore(flow, *home);
}

void GroupRoster::updateDigest()
{
    // Gone members are left out, so that removing them later does not change the digest. The highest state sequence
    // reflects their departure.
    digest_ = highestStateSequence_;
    for (const wire::TargetEntry &entry : entries_) {
        if (entry.state() == wire::GONE) {
            continue;
        }
        digest_ = hashPair(digest_, entry.target());
        digest_ = hashPair(digest_, entry.incarnation());
        digest_ = hashPair(digest_, entry.state_sequence());
        digest_ = hashPair(digest_, static_cast<std::uint64_t>(entry.state()));
    }
}

} // namespace rhubarblane
