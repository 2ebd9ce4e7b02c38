#ifndef RHUBARBLANE_RELAY_FLOWSEARCHES_H
#define RHUBARBLANE_RELAY_FLOWSEARCHES_H

#include "base/clock.h"
#include "relay/packetformat.h"
#include "wire/flowtuple.h"
#include "wire/peeraddress.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rhubarblane
{

/** The state of one search for the owner of a flow among the agents of a service. */
struct FlowSearch {
    Timestamp started;
    /** Header of the last packet of the caller. */
    RelayPacket head;
    /** No known agent holds the flow, but some agents may be unknown. */
    bool undecided = false;
    /** Agents of other groups than the service's are asked as well. */
    bool widened = false;
    /** The search is evaluated again at this time if no answer arrives before. */
    Timestamp nextEvaluation;
    /** The time as of which the lists of all agents were complete at the last evaluation. */
    Timestamp evaluatedAsOf;
    /** The agents that were asked for this flow, with the time of the last query. */
    std::map<PeerAddress, Timestamp> asked;
    /** The agents that denied the flow in an answer to a query or to a packet. */
    std::set<PeerAddress> denied;
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

    /** Returns the flows of all searches for which `isChosen` returns true. */
    template<typename Condition>
    std::vector<FlowTuple> matching(Condition isChosen) const
    {
        std::vector<FlowTuple> result;
        for (const auto &[tuple, search] : searches_) {
            if (isChosen(search)) {
                result.push_back(tuple);
            }
        }
        return result;
    }

    /** Erases searches whose callers no longer send packets. */
    void expire(Timestamp now);

private:
    std::unordered_map<FlowTuple, FlowSearch> searches_;
};

} // namespace rhubarblane

#endif
