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

/** Finds the owners of open flows by asking all agents of a service, and resets callers whose flows nobody holds. */
class FlowFinder
{
public:
    /** `context` must outlive the finder. */
    explicit FlowFinder(RelayBalancerContext &context);

    /** The entries of the store were read. */
    void noteStoreRead(Timestamp now)
    {
        coverage_.noteStoreRead(now);
    }

    /** Asks all agents which of them holds an open flow; `except` is known not to. The packet waits for the answer. */
    void search(Timestamp now,
                const RelayedService &service,
                const RelayPacket &head,
                std::string_view packet,
                const PeerAddress &except);

    /** An agent does not hold the flow, or is not sure. */
    void handleDenial(Timestamp now, const PeerAddress &agent, const FlowTuple &tuple, FlowPresence presence);

    /** The flow's owner is known: its waiting packets go there. */
    void finish(const PeerAddress &owner, const FlowTuple &tuple);

    /** The search for a flow; nothing if there is none. */
    const FlowSearch *find(const FlowTuple &tuple)
    {
        return searches_.find(tuple);
    }

    void onTick(Timestamp now);

    /** Forgets old searches. To be called about once a second. */
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
    /** Resets the caller when all agents said that they do not hold the flow. */
    void resetIfLost(const FlowTuple &tuple);
    bool knowsAllAgents(Timestamp now) const;

    RelayBalancerContext &context_;
    AgentCoverage coverage_;
    FlowSearches searches_;
};

} // namespace rhubarblane

#endif
