#include "agent/placement.h"

#include "base/rendezvous.h"

namespace rhubarblane
{

namespace
{

constexpr std::size_t CandidateCount = 5;

} // namespace

bool Placement::canAccept(const wire::TargetEntry &self, const LocalLoad &load, const AgentSettings &settings)
{
    return self.state() == wire::SERVING && load.openFlows < settings.flowLimit
        && load.activeFlows < settings.slots + settings.queueLimit;
}

bool Placement::hasFreeSlot(const LocalLoad &load, const AgentSettings &settings)
{
    return load.activeFlows < settings.slots;
}

std::uint64_t Placement::expectedWait(const LocalLoad &load, const AgentSettings &settings)
{
    if (hasFreeSlot(load, settings)) {
        return 0;
    }
    const std::uint64_t queued = load.activeFlows - settings.slots + 1;
    return queued * 1000000 / (static_cast<std::uint64_t>(settings.slots) * settings.capacityMilli);
}

std::vector<TargetId> Placement::candidatesFor(FlowHash flow, const GroupRoster &roster)
{
    std::vector<WeightedTarget> targets;
    for (const wire::TargetEntry &entry : roster.entries()) {
        if (entry.state() == wire::SERVING) {
            targets.push_back({TargetId(entry.target()), static_cast<double>(entry.capacity_milli()) * entry.slots()});
        }
    }
    return rankByRendezvous(flow, targets, CandidateCount);
}

} // namespace rhubarblane
