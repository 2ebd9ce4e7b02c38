#ifndef RHUBARBLANE_RELAY_RELAYBALANCERCONTEXT_H
#define RHUBARBLANE_RELAY_RELAYBALANCERCONTEXT_H

#include "base/clock.h"
#include "relay/balancerflow.h"
#include "relay/balancerpeers.h"
#include "relay/coldstartlimiter.h"
#include "relay/evacuations.h"
#include "relay/packetformat.h"
#include "relay/pausedetector.h"
#include "relay/recentflows.h"
#include "relay/relayoutput.h"
#include "relay/servicetable.h"
#include "relay/tablefreshness.h"
#include "relay/targetdirectory.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace rhubarblane
{

struct RelayBalancerSettings {
    Peer self;
    /** Addresses of balancers to contact while the store does not list them. */
    std::vector<PeerAddress> seeds;
    /** Maximum number of flows whose owner is kept. */
    std::size_t flowLimit = 200000;
    std::uint64_t randomSeed = 1;
    /** The operators may evacuate availability zones, so no new flow is placed before the evacuations are known. */
    bool evacuations = false;
    ColdRateBounds coldRateBounds = ColdRateBounds();
};

struct RelayBalancerCounters {
    std::uint64_t packetsIn = 0;
    std::uint64_t malformed = 0;
    std::uint64_t forwarded = 0;
    std::uint64_t searches = 0;
    std::uint64_t flowQueries = 0;
    std::uint64_t flowListRequests = 0;
    std::uint64_t flowLists = 0;
    std::uint64_t offers = 0;
    std::uint64_t offersReturned = 0;
    std::uint64_t offersUnanswered = 0;
    std::uint64_t flowsOpened = 0;
    std::uint64_t flowsHandedOn = 0; ///< The opened flows that another agent than that of the offer accepted.
    std::uint64_t portsReused = 0;
    std::uint64_t refusedUnknownService = 0;
    std::uint64_t refusedNoTarget = 0;
    std::uint64_t refusedEvacuated = 0;
    std::uint64_t refusedOverload = 0;
    std::uint64_t droppedNoTable = 0;
    std::uint64_t droppedNoEvacuations = 0;
    std::uint64_t droppedNoTarget = 0;
    std::uint64_t droppedNoFlow = 0;
    std::uint64_t flowsLost = 0;
    std::uint64_t tablesFromPeers = 0;
    std::uint64_t tableChecks = 0;
    std::uint64_t tableChecksFailed = 0;
};

/** The state that the components of a RelayBalancer share: its tables, peers, counters and output. */
struct RelayBalancerContext {
    /** `packetFormat` and `relayOutput` must outlive the context. */
    RelayBalancerContext(RelayBalancerSettings balancerSettings,
                         Timestamp now,
                         const PacketFormat &packetFormat,
                         RelayOutput &relayOutput);

    /**
     * Sends a caller's packet to an agent. `wait` is the maximum time that a new flow may wait there for a slot, and
     * `candidates` are the agents to which its packet is handed on.
     */
    void forward(const PeerAddress &agent,
                 GroupId group,
                 ForwardMode mode,
                 Milliseconds wait,
                 std::string_view packet,
                 const std::vector<PeerAddress> &candidates = {});

    /** Returns the owner of a flow, or a null pointer if it is unknown or its address has gone to another group. */
    const KnownTarget *ownerOf(const BalancerFlow &flow) const;

    /** Returns false while the evacuations that would limit new flows are unknown. */
    bool mayPlaceFlows() const
    {
        return !settings.evacuations || evacuations.isKnown();
    }

    /** Answers a caller's packet with a reset. */
    void resetCaller(const RelayPacket &head);

    /** Returns true if the target's agent has timed out: the agent has ended or its VM is unreachable. */
    bool isSilent(Timestamp now, const KnownTarget &target) const;

    RelayBalancerSettings settings;
    const PacketFormat &format;
    RelayOutput &output;
    TableFreshness freshness;
    BalancerPeers peers;
    TargetDirectory targets;
    RecentFlows<BalancerFlow> flows;
    PauseDetector pauses;
    std::optional<ServiceTable> table;
    Evacuations evacuations;
    RelayBalancerCounters counters;
    Timestamp started;
};

} // namespace rhubarblane

#endif
