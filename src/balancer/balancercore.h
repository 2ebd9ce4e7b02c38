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

/** What a balancer core is told at start. */
struct BalancerSettings {
    std::string name;
    Incarnation incarnation;
    /** Where agents and other balancers reach this balancer. */
    PeerAddress address;
    std::size_t flowCacheLimit = 1000000;
};

/** Where a balancer sends a packet. */
struct Route {
    ServiceId service;
    PeerAddress address;
    std::uint64_t incarnation = 0;
    bool toOwner = false;
};

/** Counters since the start of the process. */
struct BalancerCounters {
    std::uint64_t packets = 0;
    std::uint64_t cacheHits = 0;
    std::uint64_t toHome = 0;
    std::uint64_t unknownService = 0;
    std::uint64_t noTarget = 0;
    std::uint64_t heldSent = 0; ///< Forwarded after a wait for the first target of their service.
    std::uint64_t heldDropped = 0;
    std::uint64_t malformed = 0;
    std::uint64_t fragments = 0;
    std::uint64_t unsupportedProtocol = 0;
};

/**
 * Forwards each packet to the owner or the home of its flow, and answers the announcements of targets.
 * Has no sockets, threads or clock; equal events give equal actions.
 */
class BalancerCore
{
public:
    explicit BalancerCore(BalancerSettings settings);

    /** Handles a raw IP packet from the fabric. */
    void handlePacket(Timestamp now, std::string_view packet);

    /** Decides where a packet of the flow goes; none, and counted, if its service is unknown or has no target. */
    std::optional<Route> route(const FlowTuple &flow);

    /** Handles an authenticated message from another process. */
    void handleMessage(Timestamp now, const PeerAddress &from, const wire::Envelope &message);

    /** Takes over a configuration if its revision is higher than the current one. Returns true if it did. */
    bool applyConfiguration(const Configuration &configuration);

    /** Takes over a target entry that another balancer spread. */
    void mergeTarget(Timestamp now, const wire::TargetEntry &entry);

    void tick(Timestamp now);

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
    /** A packet of a service that has no known target yet. */
    struct HeldPacket {
        Timestamp since;
        PacketInfo info;
        std::string packet;
    };

    void hold(Timestamp now, const PacketInfo &info, std::string_view packet);
    /** Forwards held packets whose service has got a target, and drops those that waited too long. */
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
