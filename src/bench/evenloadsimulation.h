#ifndef RHUBARBLANE_BENCH_EVENLOADSIMULATION_H
#define RHUBARBLANE_BENCH_EVENLOADSIMULATION_H

#include <cstdint>
#include <string>

namespace rhubarblane
{

struct EvenLoadOptions {
    int balancers = 10;
    int targets = 35;
    int zones = 3;
    std::uint32_t slots = 2;
    double meanServiceMs = 32.0;
    /** Offered work as a share of the capacity of all targets. */
    double load = 0.9;
    /** Longest wait for a slot that the last offer of a flow accepts, in milliseconds. */
    std::uint32_t acceptedWaitMs = 90;
    /** Maximum number of agents to which an opening packet is handed on; 0 for none. */
    std::size_t candidates = 0;
    /**
     * All processes restart in the middle of the run, the targets within a second, and callers open this number of long
     * flows for each target within two seconds; 0 for no restart.
     */
    int longFlowsPerTarget = 0;
    /** Work of the requests on all long flows as a share of the capacity. */
    double longFlowLoad = 0.3;
    /** Delay of all periodic reports; loads in answers are not delayed. */
    std::int64_t reportDelayMs = 0;
    std::int64_t spanMs = 60000;
    std::uint64_t seed = 1;
};

struct EvenLoadResult {
    std::uint64_t flows = 0;
    std::uint64_t refused = 0;
    std::uint64_t offers = 0;
    std::uint64_t returned = 0;
    std::uint64_t handedOn = 0;
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    double waitP50 = 0.0;
    double waitP99 = 0.0;
    /** 99th percentile of a target's share of busy slots in a second, divided by the mean of the group. */
    double imbalanceP99 = 0.0;
    /** 99th percentile of the requests at a target at the start of a request, beyond its slots. */
    double queueP99 = 0.0;
    /** Most and fewest long flows at a target, divided by the share that its speed implies. */
    double mostLongFlows = 0.0;
    double fewestLongFlows = 0.0;
};

/**
 * Runs balancers and targets of one group in simulated time: decisions, load estimates and measurements are those of
 * the product, the network loses nothing.
 */
EvenLoadResult simulateEvenLoad(const EvenLoadOptions &options);

} // namespace rhubarblane

#endif
