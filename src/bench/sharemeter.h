#ifndef RHUBARBLANE_BENCH_SHAREMETER_H
#define RHUBARBLANE_BENCH_SHAREMETER_H

#include <cstdint>
#include <vector>

namespace rhubarblane
{

/** Returns the quantile of the samples at `share` (0 to 1); 0 without samples. */
double quantile(std::vector<double> samples, double share);

/** Measures how much of their slots the targets of one service used in each time window. */
class ShareMeter
{
public:
    static constexpr std::int64_t WindowUs = 5000000;

    /** Windows that begin before `warmUpUs` or do not end before `endUs` are left out. */
    ShareMeter(std::size_t targets, std::int64_t warmUpUs, std::int64_t endUs);

    /** Returns a meter for the same windows and targets without recorded work. */
    ShareMeter emptyCopy() const;

    /** Records that one slot of the target was in use from `fromUs` to `toUs`. */
    void addBusy(std::size_t target, std::int64_t fromUs, std::int64_t toUs);

    /** Excludes the target from the windows that end after this time. */
    void leave(std::size_t target, std::int64_t timeUs);

    bool hasLeft(std::size_t target, std::int64_t timeUs) const
    {
        return timeUs >= left_[target];
    }

    double busyUs(std::size_t target, std::int64_t timeUs) const;

    /** Returns the ratio of the highest to the mean share in use, per window. */
    std::vector<double> windowRatios() const;
    /** Returns the ratio of the highest to the mean share in use over all windows together. */
    double overallRatio() const;

private:
    double ratio(const std::vector<double> &busy, std::size_t lastWindow) const;

    std::size_t firstWindow_;
    std::size_t endWindow_;
    std::vector<std::vector<double>> busy_;
    std::vector<std::int64_t> left_;
};

} // namespace rhubarblane

#endif
