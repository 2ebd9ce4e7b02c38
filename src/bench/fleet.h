#ifndef RHUBARBLANE_BENCH_FLEET_H
#define RHUBARBLANE_BENCH_FLEET_H

#include "agent/agentaction.h"
#include "bench/eventqueue.h"
#include "bench/scenario.h"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace rhubarblane
{

/** One target of the simulated deployment. */
struct BenchTarget {
    std::string name;
    std::size_t service = 0;
    std::size_t indexInService = 0;
    int zone = 0;
    /** Service speed: a request with a service time of `workUs` takes workUs / speed. */
    double speed = 1.0;
    bool alive = true;
    bool draining = false;
    std::int64_t drainStartUs = 0;
};

/** Bytes sent and placements forwarded by the processes under test. */
struct FleetCounters {
    std::uint64_t controlBytes = 0;
    std::uint64_t flowOwnerBytes = 0;
    std::uint64_t forwardedPlacements = 0;
};

/** The simulated network, shared by the processes under test, the simulated targets and the callers. */
struct BenchNetwork {
    const BenchOptions &options;
    EventQueue &queue;
    std::mt19937_64 random;
    std::vector<BenchTarget> targets;
    /** While set, each balancer receives no messages from half of the targets. */
    bool splitViews = false;

    /** Runs the action after the delay between two availability zones, or never if the datagram is lost. */
    void transfer(int fromZone, int toZone, EventQueue::Action action);
    bool isLost();
    double exponential(double mean);
    std::size_t below(std::size_t bound);
};

/** Callbacks by which the processes under test reach the simulated targets and callers, and read the targets' load. */
struct FleetEvents {
    std::function<void(std::size_t target, const FlowTuple &, FlowNumber, const std::string &packet)> deliver;
    std::function<void(int zone, const std::string &packet)> toCaller;
    std::function<std::uint32_t(std::size_t target)> activeRequests;
};

/**
 * The processes under test: the balancers, and the agents where the policy has any, which forward packets to targets.
 */
class Fleet
{
public:
    virtual ~Fleet() = default;
    virtual void start() = 0;
    virtual void packetAtBalancer(std::size_t balancer, const std::string &packet) = 0;
    virtual void
    fromTarget(std::size_t target, const FlowTuple &flow, FlowNumber number, const std::string &packet) = 0;
    virtual void targetClosed(std::size_t target, const FlowTuple &flow, FlowNumber number) = 0;
    virtual void restartBalancer(std::size_t balancer) = 0;
    virtual void stopBalancer(std::size_t balancer) = 0;
    virtual void drainTarget(std::size_t target) = 0;
    virtual void crashTarget(std::size_t target) = 0;

    const FleetCounters &counters() const
    {
        return counters_;
    }

protected:
    FleetCounters counters_;
};

std::uint32_t serviceAddressOf(std::size_t service);

std::unique_ptr<Fleet> makeCoreFleet(BenchNetwork &network, FleetEvents events);
std::unique_ptr<Fleet> makeBaselineFleet(BenchNetwork &network, FleetEvents events);

} // namespace rhubarblane

#endif
