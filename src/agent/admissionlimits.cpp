#include "agent/admissionlimits.h"

#include <algorithm>

namespace rhubarblane
{

namespace
{

constexpr std::uint32_t DefaultMaximumPerCaller = 256;
constexpr std::uint32_t MaximumUnestablishedFlows = 16384;
constexpr std::uint64_t HighestPriority = 9;

} // namespace

void AdmissionLimits::configure(std::uint32_t perCaller, std::uint32_t priority)
{
    maximumPerCaller_ = perCaller > 0 ? perCaller : DefaultMaximumPerCaller;
    maximumUnestablished_ = limitForPriority(MaximumUnestablishedFlows, priority);
}

bool AdmissionLimits::tryOpen(std::uint32_t callerAddress)
{
    if (open_ >= maximumUnestablished_) {
        return false;
    }
    std::uint32_t &count = byCaller_[callerAddress];
    if (count >= maximumPerCaller_) {
        return false;
    }
    ++count;
    ++open_;
    return true;
}

void AdmissionLimits::close(std::uint32_t callerAddress)
{
    const auto position = byCaller_.find(callerAddress);
    if (position == byCaller_.end()) {
        return;
    }
    --open_;
    if (--position->second == 0) {
        byCaller_.erase(position);
    }
}

std::uint32_t limitForPriority(std::uint32_t bound, std::uint32_t priority)
{
    // The limit is half for priority 0 and full for priority 9.
    const std::uint64_t parts = HighestPriority + std::min<std::uint64_t>(priority, HighestPriority);
    const std::uint64_t whole = HighestPriority * 2;
    return static_cast<std::uint32_t>((bound * parts + whole - 1) / whole);
}

} // namespace rhubarblane
