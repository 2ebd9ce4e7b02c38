#ifndef RHUBARBLANE_BENCH_SIMULATION_H
#define RHUBARBLANE_BENCH_SIMULATION_H

#include "bench/fleet.h"
#include "bench/payload.h"
#include "bench/sharemeter.h"

#include <deque>
#include <map>
#include <utility>

namespace rhubarblane
{

/** Simulates callers and targets around one fleet, and measures the result. */
class Simulation
{
public:
    explicit Simulation(const BenchOptions &options);

    /** Runs the scenario once and returns the figures as a JSON object. */
    std::string run();

    /** Returns the counted events of the run. */
    const std::map<std::string, std::uint64_t> &counts() const
    {
        return counts_;
    }

private:
    /** One request or one stream of a caller. */
    struct Call {
        std::size_t service = 0;
        FlowTuple flow;
        Payload payload;
        /** Service time of the request on a target of speed 1. */
        double workUs = 0.0;
        std::int64_t arrivedUs = -1;
        std::int64_t startedUs = -1;
        int attempts = 0;
        int runs = 0;
        std::size_t target = 0;
        FlowNumber number;
        bool answered = false;
        bool refused = false;
        bool broken = false;
        /** Whether the caller has fallen silent: it neither sends nor receives any more. */
        bool silenced = false;
    };

    struct TargetState {
        std::uint32_t busy = 0;
        std::deque<std::size_t> queue;
    };

    void scheduleEvents();
    void at(double share, EventQueue::Action action);
    void stopBalancer(std::size_t balancer, bool planned);
    void removeTarget(std::size_t target, bool crash);
    double capacityOf(std::size_t service) const;
    std::size_t targetOf(std::size_t service, std::size_t index) const;
    void scheduleArrival(std::size_t service);
    void scheduleFlood();
    std::size_t addCall(std::size_t service, Payload::Kind kind);
    void sendCall(std::size_t index);
    void sendPacket(std::size_t index);
    void markBroken(Call &call);
    void deliver(std::size_t target, const FlowTuple &flow, FlowNumber number, const std::string &packet);
    void admit(std::size_t target, std::size_t index);
    void serve(std::size_t target, std::size_t index);
    void answer(std::size_t target, const FlowTuple &flow, FlowNumber number, const Payload &payload);
    void receiveAtCaller(const std::string &packet);
    std::string report();

    BenchOptions options_;
    std::int64_t endUs_;
    std::int64_t warmUpUs_;
    EventQueue queue_;
    BenchNetwork network_;
    std::mt19937_64 arrivals_;
    std::unique_ptr<Fleet> fleet_;
    /** Whether the fabric sends packets to the balancer, by balancer. */
    std::vector<bool> fabric_;
    std::vector<TargetState> states_;
    std::vector<ShareMeter> meters_;
    std::vector<Call> calls_;
    std::vector<double> initialSpeeds_;
    double loadFactor_ = 1.0;
    bool flooding_ = false;
    std::uint32_t floodPackets_ = 0;
    std::map<std::string, std::uint64_t> counts_;
};

} // namespace rhubarblane

#endif
