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
};

} // namespace rhubarblane

#endif
