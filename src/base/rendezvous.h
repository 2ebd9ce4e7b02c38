#ifndef RHUBARBLANE_BASE_RENDEZVOUS_H
#define RHUBARBLANE_BASE_RENDEZVOUS_H

#include "base/ids.h"

#include <cstddef>
#include <vector>

namespace rhubarblane
{

/** A target and its weight. A target of weight 0 or less is never selected. */
struct WeightedTarget {
    TargetId target;
    double weight = 1.0;
};

/**
 * Returns the unweighted rendezvous score of a target for a flow. The target with the highest score is the flow's home.
 */
std::uint64_t rendezvousScore(FlowHash flow, TargetId target);

/** Returns the `count` highest-ranked targets for a flow, in descending order of weighted rendezvous score. */
std::vector<TargetId> rankByRendezvous(FlowHash flow, const std::vector<WeightedTarget> &targets, std::size_t count);

} // namespace rhubarblane

#endif
