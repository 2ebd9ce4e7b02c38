#ifndef RHUBARBLANE_RELAY_FLOWINDEX_H
#define RHUBARBLANE_RELAY_FLOWINDEX_H

#include "base/clock.h"
#include "base/ids.h"
#include "relay/relaytypes.h"
#include "wire/generated/relay.pb.h"
#include "wire/peeraddress.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_set>
#include <vector>

namespace rhubarblane
{

/**
 * The flows that agents have recorded, as told in their lists. A balancer that meets flows of unknown owners requests
 * the lists of all agents of a group at once, whatever the number of these flows, and later only what was added. A list
 * that was requested after the packet of a flow and does not have the flow proves that the agent does not hold it.
 *
 * Load: after a power failure each open flow of a fleet is unknown to the balancer that gets its next packet.
 */
class FlowIndex
{
public:
    /** What is known of one agent and one flow. */
    enum class Knowledge {
        Unknown, ///< No list was requested since the packet of the flow arrived.
        Absent, ///< The agent does not hold the flow.
        Listed, ///< The agent has told a record of the flow, which may have ended since.
        Untracked, ///< The target may hold flows without a record, or the agent sends no lists.
    };

    /** Sends a list request to an agent. */
    using Sender = std::function<void(const PeerAddress &agent, const wire::relay::FlowListRequest &request)>;

    /** Returns what is known of a flow whose packet arrived at `seen`. */
    Knowledge find(const PeerAddress &agent, FlowHash flow, Timestamp seen) const;

    /** Returns the time as of which the last list of the agent was complete, or no value before the first one. */
    std::optional<Timestamp> completeAsOf(const PeerAddress &agent) const;

    /** Returns true if the agent does not answer list requests, as agents of earlier versions. */
    bool sendsNoLists(const PeerAddress &agent) const;

    /** Returns true if the agent's target may hold flows without a record, as after a restart of the agent. */
    bool isUntracked(const PeerAddress &agent) const;

    /** Requests a list of the agent with its next round, unless one that was requested at `seen` or later is due. */
    void request(const PeerAddress &agent, GroupId group, Timestamp seen);

    /** Sends the requests that are due; `agents` is the number of known agents. */
    void sendDue(Timestamp now, std::size_t agents, const Sender &send);

    /**
     * Adds a part of a list. Returns the flows told once the list is complete, and no value for an incomplete, outdated
     * or malformed one.
     */
    std::optional<std::vector<FlowHash>> add(const PeerAddress &agent, const wire::relay::FlowList &part);

    /** Removes a flow that the agent does not hold any more. */
    void erase(const PeerAddress &agent, FlowHash flow);

    /** Removes what is known of an agent that has started again. */
    void forget(const PeerAddress &agent);

    /** Removes the agents for which `isKnown` returns false. */
    void retain(const std::function<bool(const PeerAddress &agent)> &isKnown);

    /** Returns true if no request waits for its list. */
    bool isIdle() const
    {
        return outstanding_ == 0;
    }

    /** Returns the number of flows in the index. */
    std::size_t size() const;

private:
    struct Request {
        std::uint64_t id = 0;
        Timestamp sent;
        std::uint32_t parts = 0;
        std::map<std::uint32_t, std::vector<FlowHash>> received;
    };

    struct Agent {
        GroupId group;
        bool wanted = false; ///< A list is to be requested with the agent's next round.
        Timestamp nextRound;
        std::optional<Request> request;
        int unanswered = 0; ///< Consecutive requests without a list.
        std::uint64_t list = 0;
        std::uint64_t until = 0;
        std::optional<Timestamp> complete; ///< Sending time of the request of the last complete list.
        Timestamp begun; ///< Sending time of the last request for all flows.
        bool untracked = false;
        std::unordered_set<FlowHash> flows;
    };

    void sendRequest(Timestamp now, const PeerAddress &address, Agent &agent, const Sender &send);
    void abandonRequest(Agent &agent);

    std::map<PeerAddress, Agent> agents_;
    std::uint64_t lastRequest_ = 0;
    std::size_t outstanding_ = 0;
};

/** Splits the flows of an agent into messages; `head` holds the fields that all parts share. */
std::vector<wire::relay::FlowList> splitFlowList(const wire::relay::FlowList &head, const std::vector<FlowHash> &flows);

} // namespace rhubarblane

#endif
