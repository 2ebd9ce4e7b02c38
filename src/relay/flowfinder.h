#ifndef RHUBARBLANE_RELAY_FLOWFINDER_H
#define RHUBARBLANE_RELAY_FLOWFINDER_H

#include "base/clock.h"
#include "relay/agentcoverage.h"
#include "relay/flowindex.h"
#include "relay/flowsearches.h"
#include "relay/relaybalancercontext.h"
#include "relay/servicehistory.h"

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace rhubarblane
{

/**
 * Finds the owners of open flows by the lists of flows that the agents of a service have recorded, and resets callers
 * whose flows no target holds. The agents of the service's groups are asked first. If none of them has the flow, the
 * others are asked too: an earlier table may have given the service other groups, and a balancer that has just started
 * does not know the earlier tables.
 */
class FlowFinder
{
public:
    /** `context` must outlive the finder. */
    explicit FlowFinder(RelayBalancerContext &context);

    /** Records that the registered peers were read from the store. */
    void noteStoreRead(Timestamp now, LeaseHistory leases)
    {
        coverage_.noteStoreRead(now, leases);
    }

    /** Records that an agent has started again, which answers requests that it left unanswered before. */
    void noteAgentStart(const PeerAddress &agent)
    {
        index_.forget(agent);
    }

    /** Records that `next` replaces `current`, which is a null pointer before the first table. */
    void noteTable(Timestamp now, const ServiceTable *current, const ServiceTable &next)
    {
        history_.noteTable(now, current, next);
    }

    /**
     * Searches for the owner of an open flow among the agents of the service but `except`, which does not hold it. The
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

    /** Handles a part of an agent's list of flows. */
    void handleList(Timestamp now, const PeerAddress &agent, const wire::relay::FlowList &part);

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

    /** Removes expired searches and the lists of removed agents. Must be called about once a second. */
    void expire(Timestamp now);

    std::size_t size() const
    {
        return searches_.size();
    }

    /** Returns the number of flows that the agents have told. */
    std::size_t listedFlows() const
    {
        return index_.size();
    }

private:
    using Targets = std::vector<const KnownTarget *>;

    /** Returns the targets of the service's groups. */
    Targets targetsOf(const RelayedService &service) const;
    /**
     * Returns the targets of all other groups. Of groups that have not served the service lately only those whose
     * agents can deny the flow themselves are included.
     */
    Targets otherTargets(Timestamp now, const RelayedService &service) const;
    /** Asks the agents that may hold the flow, and requests the lists that are missing. Ends a search for a lost flow.
     */
    void evaluate(Timestamp now, const RelayedService &service, const FlowTuple &tuple, bool packetArrived);
    /** Evaluates the searches for which the missing lists have arrived. */
    void evaluateCovered(Timestamp now);
    /**
     * Asks the agents of the targets that may hold the flow, and requests the lists that are missing. Agents that do
     * not track all flows are left out unless `mayProbe`. Returns true if all others denied the flow.
     */
    bool askAgents(Timestamp now, FlowSearch &search, const Targets &targets, bool mayProbe, bool packetArrived);
    void ask(Timestamp now, FlowSearch &search, const PeerAddress &agent, GroupId group);
    /** Sends a packet of the flow to an agent whose target alone can tell whether it holds the flow. */
    void probe(Timestamp now, FlowSearch &search, const PeerAddress &agent, GroupId group, bool packetArrived);
    /** Handles a flow that no known agent holds: resets the caller if no other agent can hold it. */
    void conclude(Timestamp now, const RelayedService &service, FlowSearch &search);
    void sendListRequests(Timestamp now);
    /** Returns the time as of which all these agents have sent their lists, or no value if one has not. */
    std::optional<Timestamp> completeAsOf(const Targets &targets) const;
    /**
     * Returns true if a flow that all agents deny is lost: all agents are known, and each of them that may hold a flow
     * of the service answers or has announced the end of its target.
     */
    bool mayProveLoss(Timestamp now, const RelayedService &service) const;

    RelayBalancerContext &context_;
    AgentCoverage coverage_;
    FlowSearches searches_;
    FlowIndex index_;
    ServiceHistory history_;
};

} // namespace rhubarblane

#endif
