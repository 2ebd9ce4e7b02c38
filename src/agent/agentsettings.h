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
    /** A busy target accepts at once if the expected wait is not longer than this. */
    double acceptedWaitMs = 0.0;
    /** What one more hand-on costs a flow. */
    std::uint64_t handOnCostMs = 0;
    /** The weight falls by this factor's exponential per share of the slots in use; 0 is no correction. */
    double correction = 5.0;
    /** Standard deviations of the wait that an offer adds to its mean. */
    double deviations = 0.0;
    /** Queue places that an offer counts for until it is taken or its lifetime ends. */
    double offerWeight = 0.0;
    Milliseconds offerLifetime = Milliseconds(5);
    /** Ask targets of one availability zone one after the other. */
    bool groupsByZone = false;
    /** Smallest relative change of the weight that is announced. */
    double hysteresis = 0.05;
    /** Largest factor by which the weight changes in one update. */
    double maximumStep = 1000.0;
    Milliseconds shareHalfLife = Milliseconds(1000);
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
