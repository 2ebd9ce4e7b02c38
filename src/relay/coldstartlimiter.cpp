#include "relay/coldstartlimiter.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace rhubarblane
{

namespace
{

// The limit holds for any second of arrivals at the target. An opening packet may arrive later than the agent recorded
// it, while the agent waits for its CPU share; the margin keeps two openings that are recorded further apart from
// arriving within one second.
constexpr Milliseconds ArrivalMargin(100);
constexpr Milliseconds Window = Milliseconds(1000) + ArrivalMargin;
// A report that arrives this long after the target may have become cold was sent after that.
constexpr Milliseconds ReportDelay(100);

} // namespace

std::uint32_t ColdRateBounds::limitFor(double rate) const
{
    if (!(rate > 0.0)) {
        return 0;
    }
    // Rounding of the factors must not lower a whole limit by one.
    constexpr double Rounding = 1e-6;
    const double limit = std::floor(rate * rateFactor + burst + Rounding);
    // Without any flow the target would be of no use, so the lowest limit is 1.
    return static_cast<std::uint32_t>(
        std::clamp(limit, 1.0, static_cast<double>(std::numeric_limits<std::uint32_t>::max())));
}

void ColdStartLimiter::noteReport(Timestamp now, Milliseconds coldFor)
{
    const bool maySayTooLittle = assumedSince_ && now - *assumedSince_ < ReportDelay && coldFor < coldLeft(now);
    if (maySayTooLittle) {
        return;
    }
    assumedSince_.reset();
    coldUntil_ = now + coldFor;
}

void ColdStartLimiter::assumeCold(Timestamp now, Milliseconds period)
{
    assumedSince_ = now;
    coldUntil_ = std::max(coldUntil_, now + period);
}

void ColdStartLimiter::assumeFull(Timestamp now)
{
    fullUntil_ = now + Window;
}

bool ColdStartLimiter::mayOpen(Timestamp now, std::uint32_t limit)
{
    limit_ = limit;
    const std::optional<std::uint32_t> left = openingsLeft(now);
    return !left || *left > 0;
}

void ColdStartLimiter::noteOpening(Timestamp now)
{
    while (!openings_.empty() && now - openings_.front() >= Window) {
        openings_.pop_front();
    }
    openings_.push_back(now);
}

std::optional<std::uint32_t> ColdStartLimiter::openingsLeft(Timestamp now) const
{
    if (limit_ == 0 || !isCold(now)) {
        return std::nullopt;
    }
    const std::uint32_t used = openings(now);
    return now < fullUntil_ || used >= limit_ ? 0 : limit_ - used;
}

std::uint32_t ColdStartLimiter::openings(Timestamp now) const
{
    const auto first = std::partition_point(
        openings_.begin(), openings_.end(), [now](Timestamp opening) { return now - opening >= Window; });
    return static_cast<std::uint32_t>(openings_.end() - first);
}

} // namespace rhubarblane
