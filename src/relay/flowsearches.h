#ifndef RHUBARBLANE_RELAY_FLOWSEARCHES_H
#define RHUBARBLANE_RELAY_FLOWSEARCHES_H

#include "base/clock.h"
#include "relay/packetformat.h"
#include "wire/flowtuple.h"
#include "wire/peeraddress.h"

#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rhubarblane
{

/** A balancer asks all agents of a service which of them holds a flow. */
struct FlowSearch {
    Timestamp started;
    /** The last packet of the caller. */
    RelayPacket head;
    /** No agent was unknown when the search began, so that the flow is lost if all deny it. */
    bool coversAllAgents = false;
    /** All agents denied the flow while the balancer did not know all of them. */
    bool undecided = false;
    /** Agents that have not denied the flow. */
    std::set<PeerAddress> unanswered;
    /** Packets of the caller that wait for the answer. */
    std::vector<std::string> packets;
};

/** The searches of one balancer. */
class FlowSearches
{
public:
    FlowSearch *find(const FlowTuple &tuple);

    /** Starts a search for the owner of the packet's flow, in place of an earlier one. */
    FlowSearch &start(Timestamp now, const RelayPacket &head, std::string_view packet);

    /** Adds a packet to a search. Beyond the limit it is dropped; its sender repeats it. */
    static void addPacket(FlowSearch &search, const RelayPacket &head, std::string_view packet);

    void erase(const FlowTuple &tuple);

    /** Keeps the search for later, with its last packet only. */
    static void markUndecided(FlowSearch &search);

    /** More searches would take too much memory. */
    bool isFull() const;

    std::size_t size() const
    {
        return searches_.size();
    }

    /** The flows whose searches ended undecided. */
    std::vector<FlowTuple> undecided() const;

    /** Whether a search has waited so long that its questions or answers must have been lost. */
    static bool isOverdue(Timestamp now, const FlowSearch &search);

    /** Erases searches whose callers have stopped to send. */
    void expire(Timestamp now);

private:
    std::unordered_map<FlowTuple, FlowSearch> searches_;
};

} // namespace rhubarblane

#endif
