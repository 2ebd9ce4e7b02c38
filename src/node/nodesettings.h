#ifndef RHUBARBLANE_NODE_NODESETTINGS_H
#define RHUBARBLANE_NODE_NODESETTINGS_H

#include "base/clock.h"
#include "relay/coldstartlimiter.h"
#include "relay/peerdirectory.h"
#include "wire/peeraddress.h"

#include <optional>
#include <string>
#include <vector>

namespace rhubarblane
{

/** Start-up settings of a relay process, balancer or agent. */
struct NodeSettings {
    std::string name;
    PeerRole role = PeerRole::Balancer;
    std::string availabilityZone;
    /** UDP address at which peers reach the process. */
    PeerAddress peer;
    /** UDP address that receives the packets of callers (balancer) or of the target (agent). */
    PeerAddress packets;
    /** HTTP address of the readiness check, which tells the fabric whether to send packets here. */
    PeerAddress readiness;
    PeerAddress metrics;
    PeerAddress store;
    /** The port at which every caller receives packets. */
    std::uint16_t callerPort = 0;
    /** Addresses of peers to contact at start; they may be stale. */
    std::vector<PeerAddress> seeds;
    /** How far the new flows of cold targets may exceed their declared rate; used by balancers. */
    ColdRateBounds coldRateBounds;

    /** The operators may evacuate availability zones. */
    bool evacuations = false;

    // Settings of agents only.
    PeerAddress target;
    std::string group;
    /** HTTP address to which the target sends its status reports. */
    PeerAddress reports;
    Milliseconds reportInterval = Milliseconds(1000);
};

} // namespace rhubarblane

#endif
