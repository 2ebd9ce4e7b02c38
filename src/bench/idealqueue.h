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
    /** Network delay to the target in microseconds, which any balancer incurs. */
    std::int64_t pathUs = 0;
};

/**
 * Computes the waits of an ideal balancer: one shared first-come, first-served queue before all slots of a service. Of
 * several free slots it selects the one whose target used the smallest share in the current window. `speedAt` returns 0
 * for a target that accepts no work. Returns the waits in ms of the arrivals after the warm-up.
 */
std::vector<double> serveFromSharedQueue(const std::vector<IdealArrival> &arrivals,
                                         std::size_t targets,
                                         std::uint32_t slots,
                                         std::int64_t warmUpUs,
                                         const std::function<double(std::size_t, std::int64_t)> &speedAt,
                                         ShareMeter &meter);

} // namespace rhubarblane

#endif
