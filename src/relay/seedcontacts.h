#ifndef RHUBARBLANE_RELAY_SEEDCONTACTS_H
#define RHUBARBLANE_RELAY_SEEDCONTACTS_H

#include "base/clock.h"
#include "relay/peerdirectory.h"
#include "wire/peeraddress.h"

#include <vector>

namespace rhubarblane
{

/** Addresses of the settings where balancers may be reached, and when a process contacts them. */
class SeedContacts
{
public:
    explicit SeedContacts(std::vector<PeerAddress> seeds);

    /** The seeds to contact now: once an interval, those where `book` knows no balancer, nor the process itself. */
    std::vector<PeerAddress> due(Timestamp now, const PeerDirectory &directory);

private:
    std::vector<PeerAddress> seeds_;
    Timestamp next_;
};

} // namespace rhubarblane

#endif
