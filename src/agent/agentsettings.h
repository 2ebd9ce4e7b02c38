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

/** How new flows are placed; the defaults are the measured best, see docs/decisions.md. */
struct PlacementSettings {
    /** Targets that are asked for one flow before it waits at the best of them. */
    std::size_t candidates = 3;
    /** Learn the capacity from completed requests; otherwise the declared one is used. */
    bool learnsCapacity = true;
    Milliseconds halfLife = Milliseconds(3000);
    /** The weight falls by this factor's exponential per share of the slots in use; at 20 the weights oscillate. */
    double correction = 5.0;
    Milliseconds shareHalfLife = Milliseconds(1000);
    /** Smallest relative change of the weight that is announced. */
    double hysteresis = 0.05;
};

/** What an agent core is told at start. */
struct AgentSettings {
    std::string name;
    Incarnation incarnation;
    /** Where peers reach this agent. */
    PeerAddress address;
    /** Balancers that the target is announced to. */
    std::vector<PeerAddress> balancers;
    std::string client;
    std::string availabilityZone;
    std::map<std::string, std::string> labels;
    /** Requests that the target serves at once. */
    std::uint32_t slots = 1;
    /** Relative service rate; 1000 is one reference VM. */
    std::uint32_t capacityMilli = 1000;
    /** Requests that wait at the target before new ones are refused. */
    std::uint32_t queueLimit = 64;
    std::uint32_t flowLimit = 500000;
    /** Time in which a target that starts to serve grows from a tenth to all of its announced capacity. */
    Milliseconds coldStart;
    std::uint64_t seed = 1;
    PlacementSettings placement;
};

} // namespace rhubarblane

#endif
