#ifndef RHUBARBLANE_AGENT_AGENTSETTINGS_H
#define RHUBARBLANE_AGENT_AGENTSETTINGS_H

#include "base/clock.h"
#include "base/ids.h"
#include "wire/peeraddress.h"

#include <map>
#include <string>
#include <vector>

namespace rhubarblane
{

/** Parameters of the placement of new flows. See docs/decisions.md for the comparison behind the defaults. */
struct PlacementSettings {
    /**
     * Number of candidate targets that are offered a flow before it is queued at the one with the shortest expected
     * wait.
     */
    std::size_t candidates = 3;
    /** If true, the capacity is learned from completed requests; otherwise the declared capacity is used. */
    bool learnsCapacity = true;
    /** Half-life of the completed requests from which the capacity is learned. */
    Milliseconds halfLife = Milliseconds(3000);
    /**
     * Exponent of the weight's correction: the weight is the capacity times exp(-correction * share of the slots in
     * use). At 20 the weights oscillate.
     */
    double correction = 5.0;
    /** Half-life of the measured share of the slots in use. */
    Milliseconds shareHalfLife = Milliseconds(1000);
    /** Smallest relative change of the weight that is announced. */
    double hysteresis = 0.05;
};

/** Settings of an agent core, fixed at start. */
struct AgentSettings {
    std::string name;
    Incarnation incarnation;
    /** Address at which peers reach this agent. */
    PeerAddress address;
    /** Balancers to which the target is announced. */
    std::vector<PeerAddress> balancers;
    std::string client;
    std::string availabilityZone;
    std::map<std::string, std::string> labels;
    /** Number of requests that the target serves concurrently. */
    std::uint32_t slots = 1;
    /** Relative service rate; 1000 is the rate of one reference VM. */
    std::uint32_t capacityMilli = 1000;
    /** Number of requests that may be queued at the target before new ones are refused. */
    std::uint32_t queueLimit = 64;
    /** Maximum number of open flows, and of ended flows that are still remembered. */
    std::uint32_t flowLimit = 500000;
    /**
     * Time over which the announced capacity of a target that has started to serve grows from a tenth to the full
     * value.
     */
    Milliseconds coldStart;
    std::uint64_t seed = 1;
    PlacementSettings placement;
};

} // namespace rhubarblane

#endif
