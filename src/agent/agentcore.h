#ifndef RHUBARBLANE_AGENT_AGENTCORE_H
#define RHUBARBLANE_AGENT_AGENTCORE_H

#include "agent/agentaction.h"
#include "agent/agentsettings.h"
#include "agent/flowtable.h"
#include "agent/groupview.h"
#include "agent/placement.h"
#include "agent/steadytime.h"
#include "base/clock.h"
#include "wire/ippacket.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rhubarblane
{

/** Counters since the start of the process. */
struct AgentCounters {
    std::uint64_t delivered = 0;
    std::uint64_t accepted = 0;
    std::uint64_t handedOn = 0;
    std::uint64_t refused = 0;
    std::uint64_t forwarded = 0;
    std::uint64_t wrongService = 0;
    std::uint64_t staleIncarnation = 0;
    std::uint64_t hopLimit = 0;
    std::uint64_t noFlow = 0;
    std::uint64_t malformed = 0;
    std::uint64_t lateFromTarget = 0;
    std::uint64_t droppedCopies = 0;
};

/**
 * Decides for one target: which flows it owns, where new flows of its share go, and what is refused.
 * Has no sockets, threads or clock; equal events give equal actions.
 */
class AgentCore
{
public:
    explicit AgentCore(AgentSettings settings);

    /** Handles an authenticated message from another process. */
    void handleMessage(Timestamp now, const PeerAddress &from, const wire::Envelope &message);

    /** Handles an IP packet from the local target to the caller of the numbered flow. */
    void handleFromTarget(Timestamp now, const FlowTuple &flow, FlowNumber number, std::string packet);

    /** The local target closed or refused the numbered flow. */
    void handleTargetClosed(Timestamp now, const FlowTuple &flow, FlowNumber number);

    /** Runs everything that depends on time; called every 10 to 100 ms. */
    void tick(Timestamp now);

    /** Stops accepting flows; open ones live until they end or the deadline comes. */
    void beginDrain(Timestamp now, Timestamp deadline);

    bool isDraining() const
    {
        return self().state() == wire::DRAINING;
    }

    /** True when the target drains and no flow is open, or the drain deadline has come. */
    bool isDrained(Timestamp now) const;

    /** The actions since the last call, in order. */
    std::vector<AgentAction> takeActions();

    const AgentCounters &counters() const
    {
        return counters_;
    }
    const GroupRoster &roster() const
    {
        return group_.roster();
    }
    const FlowTable &flows() const
    {
        return flows_;
    }
    const wire::TargetEntry &self() const
    {
        return group_.self();
    }
    std::optional<wire::ServiceSettings> service() const
    {
        return service_;
    }

private:
    /** What the home knows of a flow that it decided. */
    struct Decision {
        enum class State { Pending, Placed, Refused };
        State state = State::Pending;
        TargetId owner;
        std::uint64_t ownerIncarnation = 0;
        std::uint64_t attempt = 0;
        Timestamp changed;
        /** The opening packet of a pending flow, for the refusal towards its caller. */
        wire::Forward forward;
    };

    void handle(Timestamp now, const PeerAddress &from, const wire::Forward &message);
    void handle(Timestamp now, const PeerAddress &from, const wire::Place &message);
    void handle(Timestamp now, const PeerAddress &from, const wire::PlaceResult &message);
    void handle(Timestamp now, const PeerAddress &from, const wire::FlowEnd &message);
    void handle(Timestamp now, const PeerAddress &from, const wire::AnnounceAck &message);

    void handle(Timestamp now, const PeerAddress &from, const wire::Heartbeat &message);

    Timestamp advance(Timestamp now);
    void announce(Timestamp now);
    void decide(Timestamp now, const FlowTuple &flow, const wire::Forward &message);
    void accept(Timestamp now, const FlowTuple &flow, const wire::Forward &message);
    void deliver(Timestamp now, FlowRecord &record, const std::string &packet);
    void endFlow(Timestamp now, const FlowTuple &flow);
    void expireFlows(Timestamp now);
    void expireDecisions(Timestamp now);
    void refuse(const wire::Forward &message, Refusal refusal);
    void sendOn(wire::Forward message, TargetId to, bool toOwner);
    void sendPlaceResult(const wire::Place &place, bool accepted);
    void tellOwner(const wire::Forward &message, TargetId owner, std::uint64_t ownerIncarnation);
    void send(const PeerAddress &to, wire::Envelope message);

    LocalLoad load() const;
    wire::Load wireLoad() const;

    AgentSettings settings_;
    GroupView group_;
    SteadyTime time_;
    Timestamp now_;
    wire::MemberState announcedState_ = wire::JOINING;
    std::optional<wire::ServiceSettings> service_;
    FlowTable flows_;
    Placement placement_;
    std::unordered_map<FlowTuple, Decision> decisions_;
    std::uint32_t activeFlows_ = 0;
    std::uint64_t nextAttempt_ = 1;
    std::uint64_t configurationRevision_ = 0;
    Timestamp nextAnnounce_;
    Timestamp nextExpiry_;
    std::optional<Timestamp> drainDeadline_;
    AgentCounters counters_;
    std::vector<AgentAction> actions_;
};

} // namespace rhubarblane

#endif
