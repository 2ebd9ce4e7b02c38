#ifndef RHUBARBLANE_BENCH_SHAREMETER_H
#define RHUBARBLANE_BENCH_SHAREMETER_H

#include <cstdint>
#include <vector>

namespace rhubarblane
{

/** The value below which `share` of the samples lie; 0 without samples. */
double quantile(std::vector<double> samples, double share);

/** How much of their slots the targets of one service used in each window. */
class ShareMeter
{
public:
    static constexpr std::int64_t WindowUs = 5000000;

    /** The windows that begin before `warmUpUs` or do not end before `endUs` are left out. */
    ShareMeter(std::size_t targets, std::int64_t warmUpUs, std::int64_t endUs);

    /** A meter of the same windows and targets that has seen no work. */
    ShareMeter emptyCopy() const;

    /** One slot of the target was in use during the span. */
    void addBusy(std::size_t target, std::int64_t fromUs, std::int64_t toUs);

    /** The target takes no part in the windows that end after this time. */
    void leave(std::size_t target, std::int64_t timeUs);

    bool hasLeft(std::size_t target, std::int64_t timeUs) const
    {
        return timeUs >= left_[target];
    }

    double busyUs(std::size_t target, std::int64_t timeUs) const;

    /** Busiest share over mean share, per window. */
    std::vector<double> windowRatios() const;
    /** The same over all windows together. */
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
