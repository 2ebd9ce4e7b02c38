#ifndef RHUBARBLANE_RELAY_AGENTFLOW_H
#define RHUBARBLANE_RELAY_AGENTFLOW_H

#include "relay/recentflows.h"
#include "wire/peeraddress.h"

#include <cstdint>

namespace rhubarblane
{

/** What an agent saw of one flow of its target. */
struct AgentFlow : RecentFlow {
    PeerAddress balancer; ///< Sent the last packet of the flow; port 0 if none did since the agent started.
    bool open = false; ///< The target answered the opening packet.
    /** Created by a searched packet: the target has not shown yet whether it holds the flow. */
    bool probed = false;
    bool sentRequest = false;
    bool requestPending = false;
    bool requestInSlot = false; ///< The pending request found a free slot.
    bool callerClosed = false;
    bool targetClosed = false;
    std::uint32_t callerSequence = 0; ///< Next new byte of the caller.
    std::uint64_t targetStartCount = 0; ///< TargetStatus::starts() when the flow opened.
    Timestamp requestStarted;

    bool closed() const
    {
        return callerClosed && targetClosed;
    }
};

} // namespace rhubarblane

#endif
