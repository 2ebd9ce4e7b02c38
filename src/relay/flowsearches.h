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

/** The state of one query to all agents of a service for the owner of a flow. */
struct FlowSearch {
    Timestamp started;
    /** Header of the last packet of the caller. */
    RelayPacket head;
    /** All agents were known when the search began, so the flow is lost if none of them holds it. */
    bool coversAllAgents = false;
    /** No queried agent holds the flow, but some agents may have been unknown. */
    bool undecided = false;
    /** Agents whose negative answer is outstanding. */
    std::set<PeerAddress> unanswered;
    /** Buffered packets of the caller, oldest first. */
    std::vector<std::string> packets;
};

/** The pending searches of one balancer, by flow. */
class FlowSearches
{
public:
    FlowSearch *find(const FlowTuple &tuple);

    /** Starts a search for the owner of the packet's flow and replaces an earlier one. */
    FlowSearch &start(Timestamp now, const RelayPacket &head, std::string_view packet);

    /** Buffers a packet. Packets beyond the limit are dropped; the caller retransmits them. */
    static void addPacket(FlowSearch &search, const RelayPacket &head, std::string_view packet);

    void erase(const FlowTuple &tuple);

    /** Keeps the search as undecided, with its last packet only. */
    static void markUndecided(FlowSearch &search);

    /** Returns true if the limit on the number of searches, which bounds their memory, is reached. */
    bool isFull() const;

    std::size_t size() const
    {
        return searches_.size();
    }

    /** Returns the flows whose searches are undecided. */
    std::vector<FlowTuple> undecided() const;

    /** Returns true if the query has timed out: its messages are assumed to be lost. */
    static bool isOverdue(Timestamp now, const FlowSearch &search);

    /** Erases searches whose callers no longer send packets. */
    void expire(Timestamp now);

private:
    std::unordered_map<FlowTuple, FlowSearch> searches_;
};

} // namespace rhubarblane

#endif
