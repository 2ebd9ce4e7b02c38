#ifndef RHUBARBLANE_RELAY_RELAYAGENTCOUNTERS_H
#define RHUBARBLANE_RELAY_RELAYAGENTCOUNTERS_H

#include <cstdint>

namespace rhubarblane
{

struct RelayAgentCounters {
    std::uint64_t packetsIn = 0; ///< Packets from callers to the target.
    std::uint64_t packetsOut = 0; ///< Packets from the target to callers.
    std::uint64_t malformed = 0;
    std::uint64_t flowsOpened = 0;
    std::uint64_t handedOn = 0; ///< Opening packets sent to the next candidate.
    std::uint64_t returnedBusy = 0;
    std::uint64_t returnedFull = 0;
    std::uint64_t returnedNotReady = 0;
    std::uint64_t returnedNotHeld = 0;
    std::uint64_t returnedWrongGroup = 0;
    std::uint64_t returnedEvacuated = 0;
    std::uint64_t returnedCold = 0;
    std::uint64_t searchesDelivered = 0;
    std::uint64_t searchesAbsent = 0;
    std::uint64_t flowListsSent = 0;
    std::uint64_t resetsDropped = 0; ///< Resets from the target's VM for flows that the target does not hold.
    std::uint64_t requestsFinished = 0;
    std::uint64_t requestsAbandoned = 0; ///< Requests that ended without an answer.
    std::uint64_t requestsCutOff = 0; ///< The abandoned requests that the target reset.
    std::uint64_t ejections = 0;
    std::uint64_t flowsUnconfirmed = 0;
    std::uint64_t reportsOutdated = 0;
    std::uint64_t reportsUnconfirmed = 0;
    std::uint64_t requestsHeld = 0; ///< Requests of less urgent services that had to wait at the agent.
    std::uint64_t heldStarted = 0; ///< Held requests that began in their turn.
    std::uint64_t heldPassedOn = 0; ///< Held requests passed on out of turn, for example since the flow closed.
    std::uint64_t heldExpired = 0; ///< Held requests dropped after their maximum time.
    std::uint64_t heldOverflowed = 0; ///< Requests dropped beyond the limit of held requests.
    std::uint64_t heldAbandoned = 0; ///< Held requests that their caller gave up.
    std::uint64_t urgentStartsAhead = 0; ///< Urgent requests that began while less urgent ones were held.
    std::uint64_t heldLongestMs = 0; ///< The longest time for which a request was held.
};

} // namespace rhubarblane

#endif
