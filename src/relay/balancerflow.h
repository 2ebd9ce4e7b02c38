#ifndef RHUBARBLANE_RELAY_BALANCERFLOW_H
#define RHUBARBLANE_RELAY_BALANCERFLOW_H

#include "relay/flowplacement.h"
#include "relay/recentflows.h"
#include "wire/peeraddress.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rhubarblane
{

/** The state that a balancer keeps for a flow. */
struct BalancerFlow : RecentFlow {
    /** The agent whose target holds the flow, or the receiver of the last offer; port 0 if unknown. */
    PeerAddress owner;
    /**
     * The group of the owner when the flow was offered to it or found there. The address may go to a target of another
     * group later.
     */
    GroupId group;
    /** Sequence number of the opening packet; no value if this balancer has not forwarded it. */
    std::optional<std::uint32_t> openingSequence;
    /** The caller has closed or reset the flow. */
    bool callerClosed = false;

    /** An offer of the flow is outstanding. */
    bool offered = false;
    Timestamp offeredAt;
    /** The flow is queued until the balancer knows targets. */
    bool queued = false;
    OfferHistory history;
    /** Agents to which the last offer is possibly handed on. */
    std::vector<PeerAddress> candidates;
    /** The load estimate on which the last offer was based, for the log. */
    TargetEstimate estimate;
    std::string openingPacket;

    /** Returns true if the agent got the last offer or is one of its candidates. */
    bool isOfferedTo(const PeerAddress &agent) const
    {
        return owner == agent || std::find(candidates.begin(), candidates.end(), agent) != candidates.end();
    }
};

} // namespace rhubarblane

#endif
