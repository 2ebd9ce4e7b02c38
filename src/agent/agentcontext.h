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

/** What the parts of an agent core share: its tables, its group and its outgoing actions. */
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
    /** The member as the roster has it; empty if it is not known or gone. */
    std::optional<MemberKey> memberKey(TargetId target) const;

    /** Sends to a process. */
    void send(const PeerAddress &to, wire::Envelope &&message);

    /** Sends to a live member; to itself through the local queue. Returns false if the member is not live. */
    bool sendTo(TargetId target, wire::Envelope &&message);

    /** Sends a flow's packet on to another member, within the hop limit. */
    void forwardTo(wire::Forward &&message, TargetId to, bool toOwner);

    /** Tells the caller of a packet why it gets no service. */
    void refuse(const std::string &packet, Refusal refusal);

    /** Tells the balancer that forwarded the packet who owns the flow. */
    void notifyOwner(const wire::Forward &message, const MemberKey &owner);

    /** Tells the balancer that forwarded the packet that this agent does not own the flow. */
    void clearOwner(const wire::Forward &message);

    /** Up to a quarter more than `time`, so that retries of several members do not coincide. */
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
    /** Messages of this agent to itself; handled before the event returns. */
    std::deque<wire::Envelope> selfMessages;
    std::mt19937_64 random;
};

} // namespace rhubarblane

#endif
