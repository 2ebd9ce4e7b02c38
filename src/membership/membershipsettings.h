#ifndef RHUBARBLANE_MEMBERSHIP_MEMBERSHIPSETTINGS_H
#define RHUBARBLANE_MEMBERSHIP_MEMBERSHIPSETTINGS_H

#include "base/clock.h"
#include "base/ids.h"
#include "wire/peeraddress.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rhubarblane
{

/** Start-up parameters of a membership core. */
struct MembershipSettings {
    std::string name;
    Incarnation incarnation;
    /** Address at which this balancer receives gossip. */
    PeerAddress address;
    /** Address at which peers fetch the configuration. */
    PeerAddress httpAddress;
    std::string availabilityZone;
    std::string region;
    /** Balancers to contact at start. The list may contain this balancer's own address. */
    std::vector<PeerAddress> seeds;
    std::uint64_t randomSeed = 1;
    /** Maximum rate of sent gossip in bytes per second, including seal and IP headers; see ByteBudget. */
    std::uint64_t bytesPerSecond = 4000;
};

} // namespace rhubarblane

#endif
