#ifndef RHUBARBLANE_AGENT_AGENTCONTEXT_H
#define RHUBARBLANE_AGENT_AGENTCONTEXT_H

#include "agent/agentaction.h"
#include "agent/agentcounters.h"
#include "agent/agentsettings.h"
#include "agent/endedflows.h"
#include "agent/flowtable.h"
#include "agent/groupview.h"
#include "agent/placement.h"
#include "wire/ippacket.h"

#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace rhubarblane
{

/** State shared by the components of an agent core: tables, group membership and pending actions. */
struct AgentContext {
    explicit AgentContext(AgentSettings agentSettings);

    TargetId id() const
    {
        return group.id();
    }
    bool isAtMostOnce() const
    {
        return service && service->at_most_once();
    }
    LocalLoad load() const
    {
        return LocalLoad {activeFlows, flows.size()};
    }
    MemberKey selfKey() const
    {
        return MemberKey {id(), group.self().incarnation()};
    }
    /** Returns the key of a member that is in the roster and not gone. */
    std::optional<MemberKey> memberKey(TargetId target) const;

    /** Sends a message to the process with this address. */
    void send(const PeerAddress &to, wire::Envelope &&message);

    /**
     * Sends a message to a member; a message to this agent goes through the local queue. Returns false if the member is
     * unknown or gone.
     */
    bool sendTo(TargetId target, wire::Envelope &&message);

    /** Forwards a flow's packet to another member unless the hop limit is reached. */
    void forwardTo(wire::Forward &&message, TargetId to, bool toOwner);

    /** Sends the caller of a packet a TCP reset or an ICMP error that indicates the reason for the refusal. */
    void refuse(const std::string &packet, Refusal refusal);

    /** Notifies the balancer that forwarded the packet of the flow's owner. */
    void notifyOwner(const wire::Forward &message, const MemberKey &owner);

    /** Notifies the balancer that forwarded the packet that this agent does not own the flow. */
    void clearOwner(const wire::Forward &message);

    /** Returns `time` plus a random 0 to 25 %, so that retries of several members do not coincide. */
    Milliseconds withJitter(Milliseconds time);

    AgentSettings settings;
    GroupView group;
    Placement placement;
    std::optional<wire::ServiceSettings> service;
    FlowTable flows;
    EndedFlows ended;
    std::uint32_t activeFlows = 0;
    AgentCounters counters;
    std::vector<AgentAction> actions;
    /** Messages of this agent to itself, which are handled before the current event returns. */
    std::deque<wire::Envelope> selfMessages;
    std::mt19937_64 random;
};

} // namespace rhubarblane

#endif
