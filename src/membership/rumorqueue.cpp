#include "membership/rumorqueue.h"

#include <algorithm>
#include <tuple>

namespace rhubarblane
{

namespace
{

/** More rumors than fit the datagrams of one tick. */
constexpr std::size_t PendingLimit = 200;

} // namespace

void RumorQueue::add(const Rumor &rumor)
{
    const auto position = rumors_.find({rumor.target, rumor.id});
    if (position != rumors_.end()) {
        // Peers that have not received the full entry yet still need it.
        const bool changeOnly = position->second.changeOnly && rumor.changeOnly;
        position->second = rumor;
        position->second.changeOnly = changeOnly;
    } else if (rumor.changeOnly || rumors_.size() < FullEntryLimit) {
        rumors_.emplace(std::pair(rumor.target, rumor.id), rumor);
    }
}

void RumorQueue::recordDuplicate(bool target, std::uint64_t id)
{
    // Drains and failures always get all transmissions: a balancer that misses one sends flows to a target that leaves.
    const auto position = rumors_.find({target, id});
    if (rumors_.size() > ReducedTransmissionsThreshold && position != rumors_.end()
        && position->second.traffic != TrafficClass::Urgent) {
        recordSent(target, id, 1, 0);
    }
}

void RumorQueue::recordSent(bool target,
                            std::uint64_t id,
                            std::uint32_t transmissions,
                            std::uint32_t remoteTransmissions)
{
    const auto position = rumors_.find({target, id});
    if (position == rumors_.end()) {
        return;
    }
    Rumor &rumor = position->second;
    rumor.transmissions -= std::min(rumor.transmissions, transmissions);
    rumor.remoteTransmissions -= std::min(rumor.remoteTransmissions, remoteTransmissions);
    if (rumor.transmissions == 0 && rumor.remoteTransmissions == 0) {
        rumors_.erase(position);
    }
}

std::vector<Rumor> RumorQueue::pending(bool remote) const
{
    std::vector<Rumor> result;
    for (const auto &[key, rumor] : rumors_) {
        if ((remote ? rumor.remoteTransmissions : rumor.transmissions) > 0) {
            result.push_back(rumor);
        }
    }
    const std::size_t count = std::min(result.size(), PendingLimit);
    std::partial_sort(result.begin(),
                      result.begin() + static_cast<std::ptrdiff_t>(count),
                      result.end(),
                      [](const Rumor &a, const Rumor &b) {
                          return std::tuple(a.traffic, b.transmissions, a.id)
                              < std::tuple(b.traffic, a.transmissions, b.id);
                      });
    result.resize(count);
    return result;
}

} // namespace rhubarblane
