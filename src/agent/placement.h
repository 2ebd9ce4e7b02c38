#ifndef RHUBARBLANE_AGENT_PLACEMENT_H
#define RHUBARBLANE_AGENT_PLACEMENT_H

#include "agent/agentsettings.h"
#include "agent/grouproster.h"
#include "base/clock.h"
#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace rhubarblane
{

/** What the placement of a new flow depends on at the local target. */
struct LocalLoad {
    /** Flows that occupy or wait for a slot. */
    std::uint32_t activeFlows = 0;
    std::size_t openFlows = 0;
};

/**
 * Decides whether the local target takes a new flow, and which targets are asked for one. Learns the capacity of the
 * local target from its own completed requests.
 */
class Placement
{
public:
    explicit Placement(const AgentSettings &settings);

    bool canAccept(const wire::TargetEntry &self, const LocalLoad &load, std::uint32_t queueLimit) const;
    bool hasFreeSlot(const LocalLoad &load) const;
    /** Expected wait of a new request at the local target, in ms. */
    std::uint64_t expectedWait(const LocalLoad &load) const;
    /** The targets that are asked in turn for a new flow. */
    static std::vector<TargetId>
    candidatesFor(FlowHash flow, const GroupRoster &roster, std::size_t count = PlacementSettings().candidates);

    /** The number of active flows became `activeFlows` at this time. */
    void setActiveFlows(Timestamp now, std::uint32_t activeFlows);
    /** An active flow got its answer; call setActiveFlows() as well. */
    void requestCompleted();
    /** Updates the capacity and the weight; to be called often. */
    void tick(Timestamp now);

    /** Requests that one slot completes in 1000 s while it is in use. */
    std::uint32_t capacityMilli() const
    {
        return capacityMilli_;
    }
    /** The capacity with the corrective term; peers draw this target in proportion to it. */
    std::uint32_t weightMilli() const
    {
        return weightMilli_;
    }

private:
    void integrate(Timestamp now);

    PlacementSettings settings_;
    std::uint32_t slots_;
    std::size_t flowLimit_;
    std::uint32_t capacityMilli_;
    std::uint32_t weightMilli_;
    std::uint32_t activeFlows_ = 0;
    std::optional<Timestamp> integrated_;
    Timestamp nextUpdate_;
    double busyMs_ = 0.0;
    double shareBusyMs_ = 0.0;
    double shareElapsedMs_ = 0.0;
    double completed_ = 0.0;
};

} // namespace rhubarblane

#endif
