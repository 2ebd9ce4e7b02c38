#include "bench/idealqueue.h"

#include <algorithm>

namespace rhubarblane
{

std::vector<double> serveFromSharedQueue(const std::vector<IdealArrival> &arrivals,
                                         std::size_t targets,
                                         std::uint32_t slots,
                                         std::int64_t warmUpUs,
                                         const std::function<double(std::size_t, std::int64_t)> &speedAt,
                                         ShareMeter &meter)
{
    std::vector<std::int64_t> freeAt(targets * slots, 0);
    std::vector<double> waits;
    for (const IdealArrival &arrival : arrivals) {
        std::size_t best = freeAt.size();
        std::int64_t bestStart = 0;
        double bestShare = 0.0;
        for (std::size_t slot = 0; slot < freeAt.size(); ++slot) {
            const std::int64_t start = std::max(arrival.timeUs, freeAt[slot]);
            if (speedAt(slot / slots, start) <= 0.0) {
                continue;
            }
            const double share = meter.busyUs(slot / slots, start);
            if (best == freeAt.size() || start < bestStart || (start == bestStart && share < bestShare)) {
                best = slot;
                bestStart = start;
                bestShare = share;
            }
        }
        if (best == freeAt.size()) {
            continue;
        }
        freeAt[best] = bestStart + static_cast<std::int64_t>(arrival.workUs / speedAt(best / slots, bestStart));
        meter.addBusy(best / slots, bestStart, freeAt[best]);
        if (arrival.timeUs >= warmUpUs) {
            waits.push_back(static_cast<double>(bestStart - arrival.timeUs + arrival.pathUs) / 1000.0);
        }
    }
    return waits;
}

} // namespace rhubarblane
