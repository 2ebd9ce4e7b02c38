#ifndef RHUBARBLANE_RELAY_BALANCERFLOW_H
#define RHUBARBLANE_RELAY_BALANCERFLOW_H

#include "relay/flowplacement.h"
#include "relay/recentflows.h"
#include "wire/peeraddress.h"

#include <string>

namespace rhubarblane
{

/** What a balancer remembers of a flow. */
struct BalancerFlow : RecentFlow {
    /** The agent whose target holds the flow, or that has the last offer; port 0 if unknown. */
    PeerAddress owner;

    /** The flow waits for the answer to an offer. */
    bool offered = false;
    Timestamp offeredAt;
    /** A new flow that waits until the balancer knows targets. */
    bool queued = false;
    OfferHistory history;
    /** What the last offer was decided by, for the log. */
    TargetEstimate estimate;
    std::string openingPacket;
};

} // namespace rhubarblane

#endif
