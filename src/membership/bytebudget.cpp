#include "membership/bytebudget.h"

#include <algorithm>

namespace rhubarblane
{

namespace
{

constexpr double BurstSeconds = 2.0;
/** Maximum debt in seconds of the byte rate. It bounds how long a burst of probes blocks the other classes. */
constexpr double DebtSeconds = 2.0;
/**
 * Share of the byte rate that received anti-entropy data may use. More is requested only below this rate, which leaves
 * the rest for rumors and probes.
 */
constexpr double RequestShare = 0.5;
/**
 * Fill level of the bucket, as a share of its size, above which each traffic class may send. Probes have a level that
 * is never reached, so they are not throttled.
 */
constexpr std::array<double, TrafficClasses> Reserve = {-1e9, 0.0, 0.1, 0.25, 0.4, 0.5};

} // namespace

ByteBudget::ByteBudget(std::uint64_t bytesPerSecond)
    : rate_(static_cast<double>(bytesPerSecond))
    , tokens_(rate_ * BurstSeconds)
    , requestTokens_(rate_ * RequestShare)
{
}

void ByteBudget::advance(Timestamp now)
{
    const double seconds = static_cast<double>((now - last_).count()) / 1000.0;
    last_ = now;
    tokens_ = std::min(tokens_ + seconds * rate_, rate_ * BurstSeconds);
    requestTokens_ = std::min(requestTokens_ + seconds * rate_ * RequestShare, rate_ * RequestShare);
}

bool ByteBudget::admit(TrafficClass traffic)
{
    const auto index = static_cast<std::size_t>(traffic);
    if (tokens_ > Reserve[index] * rate_ * BurstSeconds) {
        return true;
    }
    ++counters_[index].throttled;
    return false;
}

void ByteBudget::charge(TrafficClass traffic, std::size_t bytes)
{
    TrafficCounters &counters = counters_[static_cast<std::size_t>(traffic)];
    ++counters.messages;
    counters.bytes += bytes;
    tokens_ = std::max(tokens_ - static_cast<double>(bytes), -rate_ * DebtSeconds);
}

void ByteBudget::chargeReceived(std::size_t bytes)
{
    requestTokens_ -= static_cast<double>(bytes);
}

} // namespace rhubarblane
