#include "balancer/targettable.h"

#include "base/rendezvous.h"

#include <algorithm>

namespace rhubarblane
{

bool TargetTable::merge(const wire::TargetEntry &entry)
{
    KnownTarget &known = targets_[TargetId(entry.target())];
    const wire::TargetEntry &old = known.entry;
    const bool newer = entry.incarnation() != old.incarnation() ? entry.incarnation() > old.incarnation()
                                                                : entry.sequence() > old.sequence();
    if (!newer) {
        return false;
    }
    known.entry = entry;
    return true;
}

KnownTarget *TargetTable::find(TargetId target)
{
    const auto position = targets_.find(target);
    return position == targets_.end() ? nullptr : &position->second;
}

void TargetTable::bind(TargetId target, ServiceId service)
{
    KnownTarget *known = find(target);
    if (known == nullptr || known->service == service) {
        return;
    }
    unlist(target, known->service);
    known->service = service;
    if (service != ServiceId()) {
        members_[service].push_back(target);
    }
}

const KnownTarget *TargetTable::homeOf(ServiceId service, FlowHash flow) const
{
    const auto listed = members_.find(service);
    if (listed == members_.end()) {
        return nullptr;
    }
    const KnownTarget *best = nullptr;
    std::uint64_t bestScore = 0;
    bool bestServing = false;
    for (const TargetId target : listed->second) {
        const KnownTarget &known = targets_.at(target);
        const bool serving = known.entry.state() == wire::SERVING;
        if (!serving && known.entry.state() != wire::DRAINING) {
            continue;
        }
        const std::uint64_t score = rendezvousScore(flow, target);
        const bool better = serving != bestServing ? serving : score > bestScore;
        if (best == nullptr || better) {
            best = &known;
            bestScore = score;
            bestServing = serving;
        }
    }
    return best;
}

std::vector<const KnownTarget *> TargetTable::membersOf(ServiceId service) const
{
    std::vector<const KnownTarget *> members;
    const auto listed = members_.find(service);
    if (listed != members_.end()) {
        for (const TargetId target : listed->second) {
            members.push_back(&targets_.at(target));
        }
    }
    return members;
}

std::size_t TargetTable::expire(Timestamp now)
{
    std::size_t expired = 0;
    for (auto &[target, known] : targets_) {
        if (known.leaseEnd && *known.leaseEnd <= now && known.entry.state() != wire::GONE) {
            known.entry.set_state(wire::GONE);
            ++expired;
        }
    }
    return expired;
}

void TargetTable::unlist(TargetId target, ServiceId service)
{
    const auto listed = members_.find(service);
    if (listed == members_.end()) {
        return;
    }
    std::vector<TargetId> &members = listed->second;
    members.erase(std::remove(members.begin(), members.end(), target), members.end());
}

} // namespace rhubarblane
