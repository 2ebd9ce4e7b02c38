#include "agent/placementlog.h"

#include "agent/groupview.h"

namespace rhubarblane
{

bool PlacementLog::isRecorded(const FlowTuple &flow, const MemberKey &home, std::uint64_t attempt, Stage stage) const
{
    const auto position = entries_.find(flow);
    if (position == entries_.end() || position->second.home != home) {
        return false;
    }
    const Entry &entry = position->second;
    return attempt < entry.attempt || (attempt == entry.attempt && stage <= entry.stage);
}

bool PlacementLog::record(
    Timestamp now, const FlowTuple &flow, const MemberKey &home, std::uint64_t attempt, Stage stage)
{
    if (isRecorded(flow, home, attempt, stage)) {
        return false;
    }
    entries_[flow] = Entry {home, attempt, stage, now};
    order_.emplace_back(now, flow);
    return true;
}

void PlacementLog::expire(Timestamp now)
{
    while (!order_.empty() && now - order_.front().first >= MajorityLease + PacketLifetime) {
        const auto position = entries_.find(order_.front().second);
        if (position != entries_.end() && position->second.recorded == order_.front().first) {
            entries_.erase(position);
        }
        order_.pop_front();
    }
}

} // namespace rhubarblane
