#ifndef RHUBARBLANE_AGENT_AGENTCOUNTERS_H
#define RHUBARBLANE_AGENT_AGENTCOUNTERS_H

#include <cstdint>

namespace rhubarblane
{

/** Counters since the start of the process. */
struct AgentCounters {
    std::uint64_t delivered = 0;
    std::uint64_t accepted = 0;
    std::uint64_t forwardedPlacements = 0;
    std::uint64_t refused = 0;
    std::uint64_t forwarded = 0;
    std::uint64_t wrongService = 0;
    std::uint64_t staleIncarnation = 0;
    std::uint64_t hopLimit = 0;
    std::uint64_t noFlow = 0;
    std::uint64_t malformed = 0;
    std::uint64_t lateFromTarget = 0;
    std::uint64_t droppedDuplicates = 0;
    /**
     * Callers that were notified that the request may have run, or whose packets were dropped because it may have run.
     */
    std::uint64_t unknown = 0;
    /** Packets dropped because a queue of packets that await a decision was full. */
    std::uint64_t queueFull = 0;
    /** New flows refused by the limit per caller or by the limit on flows that are not established. */
    std::uint64_t limited = 0;
    /** Flows ended because one side did not answer within the silence timeout. */
    std::uint64_t silent = 0;
    /** Flows ended at the drain deadline. */
    std::uint64_t endedByDrain = 0;
    std::uint64_t queries = 0;
    std::uint64_t retries = 0;
    std::uint64_t registered = 0;
    /** Flows ended because their home had recorded them as refused, as lost or with another owner. */
    std::uint64_t rejectedByHome = 0;
    /** Placement requests from members that are not the flow's home according to this agent's roster. */
    std::uint64_t staleHome = 0;
};

} // namespace rhubarblane

#endif
