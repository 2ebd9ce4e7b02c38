#ifndef RHUBARBLANE_AGENT_PLACEMENT_H
#define RHUBARBLANE_AGENT_PLACEMENT_H

#include "agent/agentsettings.h"
#include "agent/grouproster.h"
#include "base/ids.h"

#include <cstdint>
#include <vector>

namespace rhubarblane
{

/** What the placement of a new flow depends on at the local target. */
struct LocalLoad {
    /** Flows that occupy or wait for a slot. */
    std::uint32_t activeFlows = 0;
    std::size_t openFlows = 0;
};

/** Decides whether the local target takes a new flow, and which targets are asked for one. */
class Placement
{
public:
    static bool canAccept(const wire::TargetEntry &self, const LocalLoad &load, const AgentSettings &settings);
    static bool hasFreeSlot(const LocalLoad &load, const AgentSettings &settings);
    /** Expected wait of a new request at the local target, in ms. */
    static std::uint64_t expectedWait(const LocalLoad &load, const AgentSettings &settings);
    /** The targets that are asked in turn for a new flow. */
    static std::vector<TargetId> candidatesFor(FlowHash flow, const GroupRoster &roster);
};

} // namespace rhubarblane

#endif
