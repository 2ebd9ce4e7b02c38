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

/** Load of the local target that the placement of a new flow depends on. */
struct LocalLoad {
    /** Number of flows that occupy a slot or wait for one. */
    std::uint32_t activeFlows = 0;
    std::size_t openFlows = 0;
};

/**
 * Decides whether the local target accepts a new flow, and which targets are candidates for one. Learns the capacity of
 * the local target from its completed requests.
 */
class Placement
{
public:
    explicit Placement(const AgentSettings &settings);

    bool canAccept(const wire::TargetEntry &self, const LocalLoad &load, std::uint32_t queueLimit) const;
    bool hasFreeSlot(const LocalLoad &load) const;
    /** Returns the expected wait of a new request at the local target, in ms. */
    std::uint64_t expectedWait(const LocalLoad &load) const;
    /** Returns the candidates for a new flow, in the order in which it is offered to them. */
    static std::vector<TargetId>
    candidatesFor(FlowHash flow, const GroupRoster &roster, std::size_t count = PlacementSettings().candidates);

    /** Sets the number of active flows as of `now`. */
    void setActiveFlows(Timestamp now, std::uint32_t activeFlows);
    /** Counts a completed request. The caller has to call setActiveFlows() as well. */
    void requestCompleted();
    /** Updates the capacity and the weight once a second. Called at least as often. */
    void tick(Timestamp now);

    /** Returns the number of requests that one slot completes in 1000 s of use. */
    std::uint32_t capacityMilli() const
    {
        return capacityMilli_;
    }
    /** Returns the capacity with the corrective term. Peers select this target in proportion to it. */
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
