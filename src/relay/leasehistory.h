#ifndef RHUBARBLANE_RELAY_LEASEHISTORY_H
#define RHUBARBLANE_RELAY_LEASEHISTORY_H

#include "base/clock.h"

namespace rhubarblane
{

/**
 * The time within which all processes register again and are known to the balancers, after their entries expired in an
 * outage of the store. Entries are written again within 2 s of its return, and their agents report 0.5 s later.
 */
constexpr Milliseconds EntryRecoveryPeriod(2500);

/** What a process that has just started knows of the leases under which the others registered. */
enum class LeaseHistory {
    Unknown, ///< Leases may have expired in an outage of the store, so entries of live processes may be missing.
    Kept, ///< The leases did not expire; entries of live processes that were written before are still listed.
};

} // namespace rhubarblane

#endif
