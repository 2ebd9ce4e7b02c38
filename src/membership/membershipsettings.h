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

/** What a membership core is told at start. */
struct MembershipSettings {
    std::string name;
    Incarnation incarnation;
    /** Where other balancers reach this balancer with gossip. */
    PeerAddress address;
    /** Where peers fetch configuration. */
    PeerAddress httpAddress;
    std::string availabilityZone;
    std::string region;
    /** Balancers to contact first; the own address may be among them. */
    std::vector<PeerAddress> seeds;
    std::uint64_t randomSeed = 1;
    /** Bytes a second that gossip may send, with seal and IP headers; see MembershipBudget. */
    std::uint64_t bytesPerSecond = 4000;
};

} // namespace rhubarblane

#endif
