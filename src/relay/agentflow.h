#ifndef RHUBARBLANE_RELAY_AGENTFLOW_H
#define RHUBARBLANE_RELAY_AGENTFLOW_H

#include "relay/recentflows.h"
#include "wire/peeraddress.h"

#include <cstdint>
#include <optional>

namespace rhubarblane
{

/** The state of one flow of the local target, as tracked by its agent. */
struct AgentFlow : RecentFlow {
    std::uint64_t number = 0; ///< Position of the record in the order in which the agent created its records.
    PeerAddress balancer; ///< Forwarded the last packet of the flow; port 0 if none did since the agent started.
    /** Sequence number of the opening packet; no value if the agent has not delivered it. */
    std::optional<std::uint32_t> openingSequence;
    bool open = false; ///< The target answered the opening packet.
    /** The flow was created by a forwarded packet, and the target has not yet shown whether it holds the flow. */
    bool probed = false;
    /** The target has started again, and has not yet shown whether the flow belongs to the new start. */
    bool unconfirmed = false;
    bool lessUrgent = false; ///< The target also serves a more urgent service than the flow's.
    bool requestDropped = false; ///< The last beginning of a request was held and dropped.
    bool sentRequest = false;
    bool requestPending = false;
    bool requestInSlot = false; ///< A slot was free when the pending request started.
    bool callerClosed = false;
    bool targetClosed = false;
    std::uint32_t callerSequence = 0; ///< Sequence number after the last byte of the caller.
    Timestamp requestStarted;

    bool closed() const
    {
        return callerClosed && targetClosed;
    }
};

} // namespace rhubarblane

#endif
