#include "relay/requestmeter.h"

#include <algorithm>
#include <cmath>

namespace rhubarblane
{

namespace
{

// Weight of a new sample. The mean follows a change of a target's speed within about 20 requests, 0.5 s of its load.
constexpr double ServiceTimeGain = 1.0 / 16.0;
// Averages over some tens of requests, but follows the end of a cold start, which takes 2 s.
constexpr double UtilizationHalfLifeMs = 1000.0;
// Used until the first request has ended; the mean service time of the reference workloads.
constexpr double DefaultServiceTimeMs = 20.0;

} // namespace

void RequestMeter::setSlots(std::uint32_t slots)
{
    slots_ = std::max<std::uint32_t>(1, slots);
}

bool RequestMeter::start(Timestamp now)
{
    integrate(now);
    ++busy_;
    return busy_ <= slots_;
}

void RequestMeter::finish(Timestamp now, Timestamp started, bool inSlot)
{
    abandon(now);
    if (!inSlot) {
        return;
    }
    const auto duration = static_cast<double>((now - started).count());
    serviceTimeMs_ = serviceTimeMs_ == 0.0 ? duration : serviceTimeMs_ + (duration - serviceTimeMs_) * ServiceTimeGain;
}

void RequestMeter::abandon(Timestamp now)
{
    integrate(now);
    busy_ -= std::min<std::uint32_t>(1, busy_);
}

void RequestMeter::clear(Timestamp now)
{
    busy_ = 0;
    serviceTimeMs_ = 0.0;
    utilization_ = 0.0;
    integrated_ = now;
}

double RequestMeter::utilization(Timestamp now) const
{
    return decayed(now);
}

Milliseconds RequestMeter::expectedWait(std::uint32_t ahead) const
{
    const std::uint32_t requests = busy_ + ahead + 1;
    if (requests <= slots_) {
        return Milliseconds(0);
    }
    const double serviceTime = serviceTimeMs_ == 0.0 ? DefaultServiceTimeMs : serviceTimeMs_;
    return Milliseconds(std::llround(std::ceil((requests - slots_) * serviceTime / slots_)));
}

void RequestMeter::integrate(Timestamp now)
{
    utilization_ = decayed(now);
    integrated_ = now;
}

double RequestMeter::decayed(Timestamp now) const
{
    const auto elapsed = static_cast<double>(std::max<std::int64_t>(0, (now - integrated_).count()));
    const double share = static_cast<double>(std::min(busy_, slots_)) / slots_;
    return share + (utilization_ - share) * std::exp2(-elapsed / UtilizationHalfLifeMs);
}

} // namespace rhubarblane
