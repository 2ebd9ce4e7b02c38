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
    return candidate.sequence() > known.sequence();
}

bool isBefore(const wire::TargetEntry &entry, std::uint64_t target)
{
    return entry.target() < target;
}

std::optional<TargetId>
bestInState(const std::vector<wire::TargetEntry> &entries, FlowHash flow, wire::MemberState state)
{
    std::optional<TargetId> best;
    std::uint64_t bestScore = 0;
    for (const wire::TargetEntry &entry : entries) {
        if (entry.state() != state) {
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
        return true;
    }
    if (!isNewer(entry, *position)) {
        return false;
    }
    *position = entry;
    return true;
}

const wire::TargetEntry *GroupRoster::find(TargetId target) const
{
    const auto position = std::lower_bound(entries_.begin(), entries_.end(), target.value(), isBefore);
    if (position == entries_.end() || position->target() != target.value()) {
        return nullptr;
    }
    return &*position;
}

std::optional<TargetId> GroupRoster::homeOf(FlowHash flow) const
{
    const std::optional<TargetId> serving = bestInState(entries_, flow, wire::SERVING);
    if (serving) {
        return serving;
    }
    return bestInState(entries_, flow, wire::DRAINING);
}

std::uint64_t GroupRoster::digest() const
{
    std::uint64_t result = 0;
    for (const wire::TargetEntry &entry : entries_) {
        result = hashPair(result, entry.target());
        result = hashPair(result, entry.incarnation());
        result = hashPair(result, static_cast<std::uint64_t>(entry.state()));
    }
    return result;
}

} // namespace rhubarblane
