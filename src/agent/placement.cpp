#include "agent/placement.h"

#include "base/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace rhubarblane
{

namespace
{

constexpr Milliseconds UpdateInterval(1000);
// Fewer completed requests than this give no usable mean service time.
constexpr double MinimumCompleted = 10.0;

double decayOver(Milliseconds interval, Milliseconds halfLife)
{
    return std::exp2(-static_cast<double>(interval.count()) / static_cast<double>(halfLife.count()));
}

/** Keeps the first candidate; of the others, those in the availability zone of their predecessor come first. */
void groupByZone(const GroupRoster &roster, std::vector<TargetId> &ranked)
{
    const auto zoneOf = [&roster](TargetId target) { return roster.find(target)->availability_zone(); };
    for (std::size_t i = 1; i < ranked.size(); ++i) {
        const std::string zone = zoneOf(ranked[i - 1]);
        const auto rest = ranked.begin() + static_cast<std::ptrdiff_t>(i);
        std::stable_partition(rest, ranked.end(), [&](TargetId target) { return zoneOf(target) == zone; });
    }
}

} // namespace

Placement::Placement(const AgentSettings &settings)
    : settings_(settings.placement)
    , slots_(settings.slots)
    , queueLimit_(settings.queueLimit)
    , flowLimit_(settings.flowLimit)
    , capacityMilli_(settings.capacityMilli)
    , weightMilli_(settings.capacityMilli)
{
}

bool Placement::canAccept(const wire::TargetEntry &self, const LocalLoad &load) const
{
    return self.state() == wire::SERVING && load.openFlows < flowLimit_ && load.activeFlows < slots_ + queueLimit_;
}

bool Placement::acceptsAtOnce(const LocalLoad &load) const
{
    return load.activeFlows < slots_ || slotWait(load) <= settings_.acceptedWaitMs;
}

bool Placement::isBetterOffer(const wire::Place &place, std::uint64_t wait) const
{
    if (!place.has_best()) {
        return true;
    }
    // Going back to an earlier candidate costs another hand-on; staying at the last one does not.
    const bool isLast = place.candidates_size() == 1;
    return wait < place.best().expected_wait_ms() + (isLast ? settings_.handOnCostMs : 0);
}

std::uint64_t Placement::expectedWait(const LocalLoad &load) const
{
    return static_cast<std::uint64_t>(std::llround(slotWait(load)));
}

double Placement::slotWait(const LocalLoad &load) const
{
    if (load.activeFlows < slots_) {
        return 0.0;
    }
    const double queued = load.activeFlows - slots_ + 1 + settings_.offerWeight * static_cast<double>(offers_.size());
    const double completionMs = 1000000.0 / (static_cast<double>(slots_) * capacityMilli_);
    return (queued + settings_.deviations * std::sqrt(queued)) * completionMs;
}

std::vector<TargetId> Placement::candidatesFor(FlowHash flow, const GroupRoster &roster) const
{
    std::vector<WeightedTarget> targets;
    for (const wire::TargetEntry &entry : roster.entries()) {
        if (entry.state() == wire::SERVING) {
            targets.push_back({TargetId(entry.target()), static_cast<double>(entry.capacity_milli()) * entry.slots()});
        }
    }
    std::vector<TargetId> ranked = rankByRendezvous(flow, targets, settings_.candidates);
    if (settings_.groupsByZone) {
        groupByZone(roster, ranked);
    }
    return ranked;
}

void Placement::activeChanged(Timestamp now, std::uint32_t activeFlows)
{
    integrate(now);
    activeFlows_ = activeFlows;
}

void Placement::offerMade(Timestamp now)
{
    while (!offers_.empty() && offers_.front() <= now) {
        offers_.pop_front();
    }
    if (settings_.offerWeight > 0.0) {
        offers_.push_back(now + settings_.offerLifetime);
    }
}

void Placement::offerTaken()
{
    if (!offers_.empty()) {
        offers_.pop_front();
    }
}

void Placement::requestCompleted()
{
    completed_ += 1.0;
}

bool Placement::tick(Timestamp now)
{
    if (!settings_.learnsCapacity || now < nextUpdate_) {
        return false;
    }
    integrate(now);
    nextUpdate_ = now + UpdateInterval;
    const std::uint32_t before = weightMilli_;
    if (completed_ >= MinimumCompleted && busyMs_ > 0.0) {
        capacityMilli_ = static_cast<std::uint32_t>(std::max(1.0, completed_ * 1000000.0 / busyMs_));
    }
    const double share = shareElapsedMs_ > 0.0 ? shareBusyMs_ / shareElapsedMs_ : 0.0;
    const double wanted = std::max(1.0, capacityMilli_ * std::exp(-settings_.correction * share));
    if (std::abs(wanted - weightMilli_) > settings_.hysteresis * weightMilli_) {
        const double step = settings_.maximumStep;
        const double bounded = std::clamp(wanted, weightMilli_ / step, weightMilli_ * step);
        weightMilli_ = static_cast<std::uint32_t>(std::max(1.0, bounded));
    }
    // Half-life history: old requests count less the older they are.
    const double decay = decayOver(UpdateInterval, settings_.halfLife);
    completed_ *= decay;
    busyMs_ *= decay;
    const double shareDecay = decayOver(UpdateInterval, settings_.shareHalfLife);
    shareBusyMs_ *= shareDecay;
    shareElapsedMs_ *= shareDecay;
    return weightMilli_ != before;
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
