#ifndef RHUBARBLANE_RELAY_FLOWFINDER_H
#define RHUBARBLANE_RELAY_FLOWFINDER_H

#include "base/clock.h"
#include "relay/agentcoverage.h"
#include "relay/flowsearches.h"
#include "relay/relaybalancercontext.h"

#include <cstddef>
#include <string_view>

namespace rhubarblane
{

/**
 * Finds the owners of open flows by querying all agents of a service, and resets callers whose flows no target holds.
 */
class FlowFinder
{
public:
    /** `context` must outlive the finder. */
    explicit FlowFinder(RelayBalancerContext &context);

    /** Records that the registered peers were read from the store. */
    void noteStoreRead(Timestamp now)
    {
        coverage_.noteStoreRead(now);
    }

    /**
     * Queries all agents of the service for the owner of an open flow, except `except`, which does not hold it. The
     * packet is buffered until the owner is known.
     */
    void search(Timestamp now,
                const RelayedService &service,
                const RelayPacket &head,
                std::string_view packet,
                const PeerAddress &except);

    /**
     * Handles the answer of an agent that does not hold the flow or cannot tell (`presence` is Absent or Uncertain).
     */
    void handleDenial(Timestamp now, const PeerAddress &agent, const FlowTuple &tuple, FlowPresence presence);

    /** Forwards the buffered packets of a flow to its recorded owner and ends the search. */
    void finish(const FlowTuple &tuple);

    /**
     * Ends the search for an earlier flow of the port on which the opening packet begins a new flow, since the search
     * would reset the new flow or forward packets of the earlier one to its target.
     */
    void cancelEarlierFlow(const RelayPacket &opening);

    /** Returns the pending search for a flow, or a null pointer. */
    const FlowSearch *find(const FlowTuple &tuple)
    {
        return searches_.find(tuple);
    }

    void onTick(Timestamp now);

    /** Removes expired searches. Must be called about once a second. */
    void expire(Timestamp now)
    {
        searches_.expire(now);
    }

    std::size_t size() const
    {
        return searches_.size();
    }

private:
    void askAgents(Timestamp now, const RelayedService &service, const FlowTuple &tuple, const PeerAddress &except);
    /** Resets the caller if no queried agent holds the flow and all agents were known when the search began. */
    void resetIfLost(const FlowTuple &tuple);
    /**
     * Returns true if a flow that all agents of the service deny is lost: all agents are known, and each of them
     * answers or has announced the end of its target.
     */
    bool mayProveLoss(Timestamp now, const RelayedService &service) const;

    RelayBalancerContext &context_;
    AgentCoverage coverage_;
    FlowSearches searches_;
};

} // namespace rhubarblane

#endif
