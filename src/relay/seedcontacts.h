#ifndef RHUBARBLANE_RELAY_SEEDCONTACTS_H
#define RHUBARBLANE_RELAY_SEEDCONTACTS_H

#include "base/clock.h"
#include "relay/peerdirectory.h"
#include "wire/peeraddress.h"

#include <vector>

namespace rhubarblane
{

/** Schedules the contacts to seeds: configured addresses at which balancers may be reached. */
class SeedContacts
{
public:
    explicit SeedContacts(std::vector<PeerAddress> seeds);

    /** Returns, once per interval, the seeds that are neither a balancer in `directory` nor the process itself. */
    std::vector<PeerAddress> due(Timestamp now, const PeerDirectory &directory);

private:
    std::vector<PeerAddress> seeds_;
    Timestamp next_;
};

} // namespace rhubarblane

#endif
