#ifndef RHUBARBLANE_BASE_LATENCYHISTOGRAM_H
#define RHUBARBLANE_BASE_LATENCYHISTOGRAM_H

#include "base/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace rhubarblane
{

/** A histogram of durations in buckets with fixed upper bounds. */
class LatencyHistogram
{
public:
    /**
     * Upper bounds of the buckets in ms, roughly doubling. Longer durations are counted in the last bucket, which has
     * no bound.
     */
    static constexpr std::array<std::int64_t, 12> BoundsMs {1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000};

    void add(Milliseconds duration)
    {
        std::size_t bucket = 0;
        while (bucket < BoundsMs.size() && duration.count() > BoundsMs[bucket]) {
            ++bucket;
        }
        ++counts_[bucket];
        sum_ = sum_ + duration;
    }

    /** Returns the number of durations in one bucket; the last bucket has no upper bound. */
    std::uint64_t count(std::size_t bucket) const
    {
        return counts_[bucket];
    }

    Milliseconds sum() const
    {
        return sum_;
    }

private:
    std::array<std::uint64_t, BoundsMs.size() + 1> counts_ {};
    Milliseconds sum_;
};

} // namespace rhubarblane

#endif
