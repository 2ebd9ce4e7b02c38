#ifndef RHUBARBLANE_RELAY_AGENTCOVERAGE_H
#define RHUBARBLANE_RELAY_AGENTCOVERAGE_H

#include "base/clock.h"
#include "relay/peerdirectory.h"
#include "relay/targetdirectory.h"

#include <cstdint>
#include <optional>

namespace rhubarblane
{

/**
 * Decides whether a balancer knows all agents. Only then does it follow from their denials that a flow is lost, and a
 * reset of its caller does no harm.
 */
class AgentCoverage
{
public:
    /** `incarnation` is that of the balancer, which started at `started`. */
    AgentCoverage(Timestamp started, std::uint64_t incarnation);

    /** The entries of the store were read. */
    void noteStoreRead(Timestamp now);

    bool isComplete(Timestamp now, const PeerDirectory &peers, const TargetDirectory &targets) const;

private:
    /** How long after the first read of the entries an agent may still be unknown. */
    Milliseconds discoveryPeriod(const PeerDirectory &peers) const;
    /** Whether no process that is known ran long before the balancer, as after a loss of power of all VMs. */
    bool startedWithAllOthers(const PeerDirectory &peers) const;

    Timestamp started_;
    std::uint64_t incarnation_;
    std::optional<Timestamp> firstStoreRead_;
};

} // namespace rhubarblane

#endif
