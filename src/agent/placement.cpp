#include "agent/placement.h"

#include "base/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace rhubarblane
{

namespace
{

constexpr Milliseconds UpdateInterval(1000);
// Fewer completed requests give no usable mean service time.
constexpr double MinimumCompleted = 10.0;

double decayOver(Milliseconds interval, Milliseconds halfLife)
{
    return std::exp2(-static_cast<double>(interval.count()) / static_cast<double>(halfLife.count()));
}

} // namespace

Placement::Placement(const AgentSettings &settings)
    : settings_(settings.placement)
    , slots_(settings.slots)
    , flowLimit_(settings.flowLimit)
    , capacityMilli_(settings.capacityMilli)
    , weightMilli_(settings.capacityMilli)
{
}

bool Placement::canAccept(const wire::TargetEntry &self, const LocalLoad &load, std::uint32_t queueLimit) const
{
    return self.state() == wire::SERVING && load.openFlows < flowLimit_ && load.activeFlows < slots_ + queueLimit;
}

bool Placement::hasFreeSlot(const LocalLoad &load) const
{
    return load.activeFlows < slots_;
}

std::uint64_t Placement::expectedWait(const LocalLoad &load) const
{
    if (hasFreeSlot(load)) {
        return 0;
    }
    const double queued = load.activeFlows - slots_ + 1;
    return static_cast<std::uint64_t>(
        std::llround(queued * 1000000.0 / (static_cast<double>(slots_) * capacityMilli_)));
}

std::vector<TargetId> Placement::candidatesFor(FlowHash flow, const GroupRoster &roster, std::size_t count)
{
    std::vector<WeightedTarget> targets;
    for (const wire::TargetEntry &entry : roster.entries()) {
        if (entry.state() == wire::SERVING) {
            targets.push_back({TargetId(entry.target()), static_cast<double>(entry.capacity_milli()) * entry.slots()});
        }
    }
    return rankByRendezvous(flow, targets, count);
}

void Placement::setActiveFlows(Timestamp now, std::uint32_t activeFlows)
{
    integrate(now);
    activeFlows_ = activeFlows;
}

void Placement::requestCompleted()
{
    completed_ += 1.0;
}

void Placement::tick(Timestamp now)
{
    if (!settings_.learnsCapacity || now < nextUpdate_) {
        return;
    }
    integrate(now);
    nextUpdate_ = now + UpdateInterval;
    if (completed_ >= MinimumCompleted && busyMs_ > 0.0) {
        capacityMilli_ = static_cast<std::uint32_t>(std::max(1.0, completed_ * 1000000.0 / busyMs_));
    }
    // Only the ratio of the members' weights matters, so each member lowers its weight by its own share in use and
    // needs no mean of the group.
    const double share = shareElapsedMs_ > 0.0 ? shareBusyMs_ / shareElapsedMs_ : 0.0;
    const double wanted = std::max(1.0, capacityMilli_ * std::exp(-settings_.correction * share));
    if (std::abs(wanted - weightMilli_) > settings_.hysteresis * weightMilli_) {
        weightMilli_ = static_cast<std::uint32_t>(wanted);
    }
    // The history decays exponentially, so that older requests count less.
    const double decay = decayOver(UpdateInterval, settings_.halfLife);
    completed_ *= decay;
    busyMs_ *= decay;
    const double shareDecay = decayOver(UpdateInterval, settings_.shareHalfLife);
    shareBusyMs_ *= shareDecay;
    shareElapsedMs_ *= shareDecay;
}

void Placement::integrate(Timestamp now)
{
    if (integrated_ && now > *integrated_) {
        const double elapsedMs = static_cast<double>((now - *integrated_).count());
        const std::uint32_t used = std::min(activeFlows_, slots_);
        busyMs_ += elapsedMs * used;
        shareBusyMs_ += elapsedMs * used / slots_;
        shareElapsedMs_ += elapsedMs;
    }
    integrated_ = integrated_ ? std::max(*integrated_, now) : now;
}

} // namespace rhubarblane
