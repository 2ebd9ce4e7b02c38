#ifndef RHUBARBLANE_RELAY_BALANCERFLOW_H
#define RHUBARBLANE_RELAY_BALANCERFLOW_H

#include "relay/flowplacement.h"
#include "relay/recentflows.h"
#include "wire/peeraddress.h"

#include <string>

namespace rhubarblane
{

/** The state that a balancer keeps for a flow. */
struct BalancerFlow : RecentFlow {
    /** The agent whose target holds the flow, or the receiver of the last offer; port 0 if unknown. */
    PeerAddress owner;

    /** An offer of the flow is outstanding. */
    bool offered = false;
    Timestamp offeredAt;
    /** The flow is queued until the balancer knows targets. */
    bool queued = false;
    OfferHistory history;
    /** The load estimate on which the last offer was based, for the log. */
    TargetEstimate estimate;
    std::string openingPacket;
};

} // namespace rhubarblane

#endif
