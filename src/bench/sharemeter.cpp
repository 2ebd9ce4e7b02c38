#include "bench/sharemeter.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace rhubarblane
{

double quantile(std::vector<double> samples, double share)
{
    if (samples.empty()) {
        return 0.0;
    }
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(samples.size())));
    const std::size_t index = std::min(samples.size() - 1, rank == 0 ? 0 : rank - 1);
    std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(index), samples.end());
    return samples[index];
}

ShareMeter::ShareMeter(std::size_t targets, std::int64_t warmUpUs, std::int64_t endUs)
    : firstWindow_(static_cast<std::size_t>((warmUpUs + WindowUs - 1) / WindowUs))
    , endWindow_(static_cast<std::size_t>(endUs / WindowUs))
    , busy_(endWindow_ + 1, std::vector<double>(targets, 0.0))
    , left_(targets, std::numeric_limits<std::int64_t>::max())
{
}

ShareMeter ShareMeter::emptyCopy() const
{
    ShareMeter result = *this;
    for (std::vector<double> &window : result.busy_) {
        std::fill(window.begin(), window.end(), 0.0);
    }
    return result;
}

void ShareMeter::addBusy(std::size_t target, std::int64_t fromUs, std::int64_t toUs)
{
    while (fromUs < toUs) {
        const std::int64_t window = fromUs / WindowUs;
        const std::int64_t until = std::min(toUs, (window + 1) * WindowUs);
        if (static_cast<std::size_t>(window) < endWindow_) {
            busy_[static_cast<std::size_t>(window)][target] += static_cast<double>(until - fromUs);
        }
        fromUs = until;
    }
}

void ShareMeter::leave(std::size_t target, std::int64_t timeUs)
{
    left_[target] = std::min(left_[target], timeUs);
}

double ShareMeter::busyUs(std::size_t target, std::int64_t timeUs) const
{
    const std::size_t window = std::min(endWindow_, static_cast<std::size_t>(timeUs / WindowUs));
    return busy_[window][target];
}

std::vector<double> ShareMeter::windowRatios() const
{
    std::vector<double> ratios;
    for (std::size_t window = firstWindow_; window < endWindow_; ++window) {
        ratios.push_back(ratio(busy_[window], window));
    }
    return ratios;
}

double ShareMeter::overallRatio() const
{
    std::vector<double> sums(left_.size(), 0.0);
    for (std::size_t window = firstWindow_; window < endWindow_; ++window) {
        std::transform(sums.begin(), sums.end(), busy_[window].begin(), sums.begin(), std::plus<>());
    }
    return endWindow_ <= firstWindow_ ? 0.0 : ratio(sums, endWindow_ - 1);
}

double ShareMeter::ratio(const std::vector<double> &busy, std::size_t lastWindow) const
{
    double sum = 0.0;
    double highest = 0.0;
    int present = 0;
    for (std::size_t target = 0; target < busy.size(); ++target) {
        if (left_[target] < static_cast<std::int64_t>(lastWindow + 1) * WindowUs) {
            continue;
        }
        sum += busy[target];
        highest = std::max(highest, busy[target]);
        ++present;
    }
    return sum > 0.0 ? highest * present / sum : 1.0;
}

} // namespace rhubarblane
