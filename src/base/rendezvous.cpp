#include "base/rendezvous.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rhubarblane
{

std::uint64_t rendezvousScore(FlowHash flow, TargetId target)
{
    return hashPair(flow.value(), target.value());
}

std::vector<TargetId> rankByRendezvous(FlowHash flow, const std::vector<WeightedTarget> &targets, std::size_t count)
{
    std::vector<std::pair<double, TargetId>> scored;
    scored.reserve(targets.size());
    for (const WeightedTarget &entry : targets) {
        if (entry.weight <= 0.0) {
            continue;
        }
        // The negative logarithm of a uniform variate divided by the weight is exponentially distributed with the
        // weight as its rate, so each target has the smallest value with a probability proportional to its weight.
        const double uniform = (static_cast<double>(rendezvousScore(flow, entry.target) >> 11) + 0.5) * 0x1p-53;
        scored.emplace_back(-std::log(uniform) / entry.weight, entry.target);
    }
    const std::size_t kept = std::min(count, scored.size());
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(kept), scored.end());
    std::vector<TargetId> ranked;
    ranked.reserve(kept);
    for (std::size_t i = 0; i < kept; ++i) {
        ranked.push_back(scored[i].second);
    }
    return ranked;
}

} // namespace rhubarblane
