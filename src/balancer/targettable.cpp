#include "balancer/targettable.h"

#include "base/rendezvous.h"

#include <algorithm>

namespace rhubarblane
{

bool TargetTable::merge(const wire::TargetEntry &entry)
{
    KnownTarget &known = findOrInsert(TargetId(entry.target()));
    const wire::TargetEntry &old = known.entry;
    const bool newer = entry.incarnation() != old.incarnation() ? entry.incarnation() > old.incarnation()
                                                                : entry.sequence() > old.sequence();
    if (!newer) {
        return false;
    }
    known.entry = entry;
    updateRoute(known);
    return true;
}

KnownTarget *TargetTable::announce(const wire::TargetEntry &entry, Timestamp leaseEnd)
{
    KnownTarget &known = findOrInsert(TargetId(entry.target()));
    const bool isOld = entry.incarnation() != known.entry.incarnation()
        ? entry.incarnation() < known.entry.incarnation()
        : entry.sequence() < known.entry.sequence();
    if (isOld) {
        return nullptr;
    }
    known.entry = entry;
    known.leaseEnd = leaseEnd;
    updateRoute(known);
    return &known;
}

const KnownTarget *TargetTable::find(TargetId target) const
{
    const auto position = targets_.find(target);
    return position == targets_.end() ? nullptr : &position->second;
}

void TargetTable::bind(TargetId target, ServiceId service)
{
    const auto position = targets_.find(target);
    if (position == targets_.end() || position->second.service == service) {
        return;
    }
    KnownTarget &known = position->second;
    const auto listed = members_.find(known.service);
    if (listed != members_.end()) {
        std::vector<TargetRoute> &old = listed->second;
        old.erase(std::remove_if(old.begin(), old.end(), [target](const TargetRoute &r) { return r.target == target; }),
                  old.end());
    }
    known.service = service;
    if (service != ServiceId()) {
        members_[service].push_back(routes_[known.index]);
    }
}

const TargetRoute *TargetTable::homeOf(ServiceId service, FlowHash flow) const
{
    const auto listed = members_.find(service);
    if (listed == members_.end()) {
        return nullptr;
    }
    const TargetRoute *best = nullptr;
    std::uint64_t bestScore = 0;
    bool bestServing = false;
    for (const TargetRoute &route : listed->second) {
        const bool serving = route.state == wire::SERVING;
        if (!serving && route.state != wire::DRAINING) {
            continue;
        }
        const std::uint64_t score = rendezvousScore(flow, route.target);
        const bool better = serving != bestServing ? serving : score > bestScore;
        if (best == nullptr || better) {
            best = &route;
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
        for (const TargetRoute &route : listed->second) {
            members.push_back(&targets_.at(route.target));
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
            updateRoute(known);
            ++expired;
        }
    }
    return expired;
}

KnownTarget &TargetTable::findOrInsert(TargetId target)
{
    const auto [position, isNew] = targets_.try_emplace(target);
    if (isNew) {
        position->second.index = static_cast<std::uint32_t>(routes_.size());
        routes_.push_back(TargetRoute {target, 0, {}, wire::JOINING});
        liveIncarnations_.push_back(0);
    }
    return position->second;
}

void TargetTable::updateRoute(const KnownTarget &known)
{
    const TargetRoute route {TargetId(known.entry.target()),
                             known.entry.incarnation(),
                             fromWire(known.entry.address()),
                             known.entry.state()};
    routes_[known.index] = route;
    liveIncarnations_[known.index] = route.state == wire::GONE ? 0 : route.incarnation;
    const auto listed = members_.find(known.service);
    if (listed == members_.end()) {
        return;
    }
    for (TargetRoute &member : listed->second) {
        if (member.target == route.target) {
            member = route;
        }
    }
}

} // namespace rhubarblane
