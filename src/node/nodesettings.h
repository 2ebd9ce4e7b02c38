#ifndef RHUBARBLANE_NODE_NODESETTINGS_H
#define RHUBARBLANE_NODE_NODESETTINGS_H

#include "base/clock.h"
#include "relay/peerdirectory.h"
#include "wire/peeraddress.h"

#include <optional>
#include <string>
#include <vector>

namespace rhubarblane
{

/** Everything that a process of relayed services is told at start. */
struct NodeSettings {
    std::string name;
    PeerRole role = PeerRole::Balancer;
    std::string availabilityZone;
    /** Where peers reach the process. */
    PeerAddress peer;
    /** Where packets of callers arrive (balancer), or packets of the target (agent). */
    PeerAddress packets;
    /** Answers whether the fabric should send packets here. */
    PeerAddress readiness;
    PeerAddress metrics;
    PeerAddress store;
    /** The port at which every caller receives packets. */
    std::uint16_t callerPort = 0;
    /** Peer addresses that may be stale. */
    std::vector<PeerAddress> seeds;

    // Agent.
    PeerAddress target;
    std::string group;
    /** Where the target sends its status reports. */
    PeerAddress reports;
    Milliseconds reportInterval = Milliseconds(1000);
};

} // namespace rhubarblane

#endif
