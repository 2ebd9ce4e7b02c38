#ifndef RHUBARBLANE_BENCH_IDEALQUEUE_H
#define RHUBARBLANE_BENCH_IDEALQUEUE_H

#include "bench/sharemeter.h"

#include <functional>
#include <vector>

namespace rhubarblane
{

struct IdealArrival {
    std::int64_t timeUs = 0;
    double workUs = 0.0;
    /** The way to the target, which any balancer pays. */
    std::int64_t pathUs = 0;
};

/**
 * One shared queue, first come first served, before all slots of a service; of several free slots, the one whose target
 * used the smallest share in the current window. `speedAt` is 0 for a target that takes no work. Returns the waits in
 * ms of the arrivals after the warm-up.
 */
std::vector<double> serveFromSharedQueue(const std::vector<IdealArrival> &arrivals,
                                         std::size_t targets,
                                         std::uint32_t slots,
                                         std::int64_t warmUpUs,
                                         const std::function<double(std::size_t, std::int64_t)> &speedAt,
                                         ShareMeter &meter);

} // namespace rhubarblane

#endif
