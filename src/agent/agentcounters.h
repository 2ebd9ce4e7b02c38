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
    /** Callers that were told, or whose packets were dropped because, the request may have run. */
    std::uint64_t unknown = 0;
    /** Packets dropped because too many wait for decisions. */
    std::uint64_t queueFull = 0;
    /** New flows refused by a limit per caller or on undecided flows. */
    std::uint64_t limited = 0;
    /** Flows ended because one direction fell silent. */
    std::uint64_t silent = 0;
    /** Flows still open at the drain deadline. */
    std::uint64_t endedByDrain = 0;
    std::uint64_t queries = 0;
    std::uint64_t retries = 0;
    std::uint64_t registered = 0;
    /** Flows given up because their home had given them up or to another owner. */
    std::uint64_t rejectedByHome = 0;
    /** Placements by members that are not the flow's home by this agent's roster. */
    std::uint64_t staleHome = 0;
};

} // namespace rhubarblane

#endif
