#ifndef RHUBARBLANE_BALANCER_BALANCERCORE_H
#define RHUBARBLANE_BALANCER_BALANCERCORE_H

#include "balancer/balanceraction.h"
#include "balancer/flowcache.h"
#include "balancer/serviceindex.h"
#include "balancer/targettable.h"
#include "base/clock.h"
#include "model/configuration.h"
#include "wire/ippacket.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rhubarblane
{

/** Start-up parameters of a balancer core. */
struct BalancerSettings {
    std::string name;
    Incarnation incarnation;
    /** Address at which agents and other balancers reach this balancer. */
    PeerAddress address;
    /** Maximum number of flows in the flow cache. */
    std::size_t flowCacheLimit = 1000000;
};

/** The destination of a packet. */
struct Route {
    ServiceId service;
    /** Address of the target's agent. */
    PeerAddress address;
    /** Incarnation of the target. */
    std::uint64_t incarnation = 0;
    /** True if the flow cache named the owner of the flow; false if the packet goes to the flow's home. */
    bool toOwner = false;
};

/** Counters since the start of the process. */
struct BalancerCounters {
    std::uint64_t packets = 0;
    std::uint64_t cacheHits = 0;
    std::uint64_t toHome = 0;
    std::uint64_t unknownService = 0;
    std::uint64_t noTarget = 0;
    std::uint64_t heldSent = 0; ///< Packets forwarded after they were held until their service had a target.
    std::uint64_t heldDropped = 0; ///< Dropped: queue full, hold period over or service removed.
    std::uint64_t malformed = 0;
    std::uint64_t fragments = 0;
    std::uint64_t unsupportedProtocol = 0;
};

/**
 * Forwards each packet to the owner or the home of its flow and acknowledges the announcements of targets.
 * The core has no sockets, threads or clock: the same sequence of events always produces the same actions.
 */
class BalancerCore
{
public:
    explicit BalancerCore(BalancerSettings settings);

    /** Handles a raw IP packet from the fabric. */
    void handlePacket(Timestamp now, std::string_view packet);

    /**
     * Selects the destination for a packet of the flow. Returns none and increments a counter if the service is unknown
     * or has no target.
     */
    std::optional<Route> route(const FlowTuple &flow);

    /** Handles an authenticated message from another process. */
    void handleMessage(Timestamp now, const PeerAddress &from, const wire::Envelope &message);

    /** Applies a configuration if its revision is higher than the current one. Returns true if it was applied. */
    bool applyConfiguration(const Configuration &configuration);

    /** Merges a target entry received from another balancer. */
    void mergeTarget(Timestamp now, const wire::TargetEntry &entry);

    /** Expires leases of targets and forwards or drops held packets. */
    void tick(Timestamp now);

    /** Returns and clears the messages to send. */
    std::vector<BalancerSend> takeActions();

    const Configuration &configuration() const
    {
        return configuration_;
    }
    const TargetTable &targets() const
    {
        return targets_;
    }
    const BalancerCounters &counters() const
    {
        return counters_;
    }
    std::size_t cachedFlows() const
    {
        return cache_.size();
    }
    std::size_t cacheBytes() const
    {
        return cache_.memoryBytes();
    }

private:
    void handle(Timestamp now, const PeerAddress &from, const wire::Announce &message);
    void handle(const wire::FlowOwner &message);
    /** A packet held because no target of its service is known yet. */
    struct HeldPacket {
        Timestamp since;
        PacketInfo info;
        std::string packet;
    };

    void hold(Timestamp now, const PacketInfo &info, std::string_view packet);
    /**
     * Forwards held packets whose service now has a target. Drops those whose service was removed or that were held for
     * the hold period.
     */
    void releaseHeld(Timestamp now);
    void forward(const PacketInfo &info, const Route &route, std::string_view packet);
    void countPacketError(PacketError error);
    void bindTargets();

    BalancerSettings settings_;
    Configuration configuration_;
    TargetTable targets_;
    ServiceIndex services_;
    std::unordered_map<ServiceId, const ServiceSpec *> specs_;
    FlowCache cache_;
    BalancerCounters counters_;
    std::vector<HeldPacket> held_;
    std::vector<BalancerSend> actions_;
};

} // namespace rhubarblane

#endif
