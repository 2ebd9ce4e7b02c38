#ifndef RHUBARBLANE_RELAY_AGENTCOVERAGE_H
#define RHUBARBLANE_RELAY_AGENTCOVERAGE_H

#include "base/clock.h"
#include "relay/leasehistory.h"
#include "relay/peerdirectory.h"
#include "relay/targetdirectory.h"

#include <cstdint>
#include <optional>

namespace rhubarblane
{

/**
 * Decides whether a balancer knows all agents. Only then do negative answers of all known agents prove that a flow is
 * lost, so that its caller may be reset.
 */
class AgentCoverage
{
public:
    /** `started` is the start time of the balancer, `incarnation` its start in Unix milliseconds. */
    AgentCoverage(Timestamp started, std::uint64_t incarnation);

    /** Records that the registered peers were read from the store; only the first read counts. */
    void noteStoreRead(Timestamp now, LeaseHistory leases);

    bool isComplete(Timestamp now, const PeerDirectory &peers, const TargetDirectory &targets) const;

    /**
     * Returns how long an agent may remain unknown after the first read of the store, or after the balancer's start if
     * the store has not been read.
     */
    Milliseconds discoveryPeriod(const PeerDirectory &peers) const;

    /** Returns what was known of the leases at the first read of the store. */
    LeaseHistory leaseHistory() const
    {
        return leases_;
    }

    /** Returns the time from the start to the first read of the store, or no value before it. */
    std::optional<Milliseconds> firstReadDelay() const;

private:
    /** Returns true if all known processes started at about the same time as the balancer, as after a power failure. */
    bool startedWithAllOthers(const PeerDirectory &peers) const;

    Timestamp started_;
    std::uint64_t incarnation_;
    std::optional<Timestamp> firstStoreRead_;
    LeaseHistory leases_ = LeaseHistory::Unknown;
};

} // namespace rhubarblane

#endif
