#include "relay/flowplacement.h"

#include <algorithm>

namespace rhubarblane
{

namespace
{

// Three candidates had the least imbalance in the measurements of docs/decisions.md.
constexpr std::size_t OffersWithFreeSlot = 3;
// Assumed while no target of the group has measured a request; the mean work of the reference workloads.
constexpr double DefaultServiceTimeMs = 20.0;
// A round trip between availability zones of the reference deployments.
constexpr double CrossZoneMs = 3.0;
// Keeps a target that looks fully used in the draw, since its report may be old.
constexpr double LeastFreeShare = 0.05;
// A target that rejects requests answers them fast. It must not look so fast that it draws all new flows; the fastest
// real targets are about four times as fast as the mean.
constexpr double LeastServiceTimeShare = 0.25;
// How much busier than its group a target of the own availability zone may be before flows leave the zone.
constexpr double ZoneTolerance = 0.10;

double serviceTimeOf(const KnownTarget &target, double mean)
{
    return target.serviceTimeMs > 0.0 ? std::max(target.serviceTimeMs, mean * LeastServiceTimeShare) : mean;
}

double meanServiceTime(const std::vector<const KnownTarget *> &targets)
{
    double sum = 0.0;
    int measured = 0;
    for (const KnownTarget *target : targets) {
        if (target->serviceTimeMs > 0.0) {
            sum += target->serviceTimeMs;
            ++measured;
        }
    }
    return measured == 0 ? DefaultServiceTimeMs : sum / measured;
}

std::uint32_t expectedRequests(const KnownTarget &target)
{
    return target.busy + target.opening + target.offered;
}

bool isQueueFull(const KnownTarget *target)
{
    return expectedRequests(*target) >= target->slots + QueueLimit;
}

bool hasFreeSlot(const KnownTarget &target)
{
    return expectedRequests(target) < target.slots;
}

OfferBasis basisOf(Timestamp now, const KnownTarget &target)
{
    return {expectedRequests(target), target.serviceTimeMs, now - target.heard};
}

double freeCapacity(const KnownTarget &target, double mean)
{
    return target.slots * std::max(LeastFreeShare, 1.0 - target.utilization) / serviceTimeOf(target, mean);
}

bool contains(const std::vector<PeerAddress> &addresses, const PeerAddress &address)
{
    return std::find(addresses.begin(), addresses.end(), address) != addresses.end();
}

} // namespace

std::string nameOf(Refusal refusal)
{
    return refusal == Refusal::NoTarget ? "noTarget" : "overload";
}

FlowPlacement::FlowPlacement(std::uint64_t seed)
    : random_(seed)
{
}

double FlowPlacement::expectedTime(const KnownTarget &target, double meanServiceTimeMs)
{
    const double serviceTime = serviceTimeOf(target, meanServiceTimeMs);
    const std::uint32_t requests = expectedRequests(target) + 1;
    const double waiting = requests > target.slots ? requests - target.slots : 0;
    return serviceTime * (1.0 + waiting / target.slots) + (target.sameZone ? 0.0 : CrossZoneMs);
}

std::variant<Offer, Refusal> FlowPlacement::next(Timestamp now,
                                                 const std::vector<const KnownTarget *> &group,
                                                 const OfferHistory &history,
                                                 Milliseconds acceptedWait)
{
    std::vector<const KnownTarget *> usable;
    std::copy_if(group.begin(), group.end(), std::back_inserter(usable), [now](const KnownTarget *target) {
        return TargetDirectory::isUsable(now, *target);
    });
    if (usable.empty()) {
        return Refusal::NoTarget;
    }
    if (history.lastOfferMade) {
        return Refusal::Overload;
    }
    const double mean = meanServiceTime(usable);
    std::vector<const KnownTarget *> untried;
    std::copy_if(usable.begin(), usable.end(), std::back_inserter(untried), [&](const KnownTarget *target) {
        return !contains(history.tried, target->agent.address);
    });
    if (!untried.empty() && history.tried.size() < OffersWithFreeSlot) {
        if (const KnownTarget *target = chooseFree(untried, mean)) {
            return Offer {target->agent.address, Milliseconds(0), false, basisOf(now, *target)};
        }
    }
    usable.erase(std::remove_if(usable.begin(), usable.end(), isQueueFull), usable.end());
    if (usable.empty()) {
        return Refusal::Overload;
    }
    const KnownTarget *best =
        *std::min_element(usable.begin(), usable.end(), [mean](const KnownTarget *a, const KnownTarget *b) {
            return expectedTime(*a, mean) < expectedTime(*b, mean);
        });
    return Offer {best->agent.address, acceptedWait, true, basisOf(now, *best)};
}

const KnownTarget *FlowPlacement::chooseFree(const std::vector<const KnownTarget *> &candidates,
                                             double meanServiceTimeMs)
{
    double utilization = 0.0;
    for (const KnownTarget *target : candidates) {
        utilization += target->utilization;
    }
    const double tolerated = utilization / static_cast<double>(candidates.size()) + ZoneTolerance;
    std::vector<const KnownTarget *> free;
    std::vector<const KnownTarget *> freeInZone;
    for (const KnownTarget *target : candidates) {
        if (!hasFreeSlot(*target)) {
            continue;
        }
        free.push_back(target);
        if (target->sameZone && target->utilization <= tolerated) {
            freeInZone.push_back(target);
        }
    }
    const std::vector<const KnownTarget *> &preferred = freeInZone.empty() ? free : freeInZone;
    if (preferred.empty()) {
        return nullptr;
    }
    const KnownTarget *first = drawByFreeCapacity(preferred, meanServiceTimeMs);
    const KnownTarget *second = drawByFreeCapacity(preferred, meanServiceTimeMs);
    return expectedTime(*second, meanServiceTimeMs) < expectedTime(*first, meanServiceTimeMs) ? second : first;
}

const KnownTarget *FlowPlacement::drawByFreeCapacity(const std::vector<const KnownTarget *> &candidates,
                                                     double meanServiceTimeMs)
{
    double total = 0.0;
    for (const KnownTarget *target : candidates) {
        total += freeCapacity(*target, meanServiceTimeMs);
    }
    double position = std::uniform_real_distribution<double>(0.0, total)(random_);
    for (const KnownTarget *target : candidates) {
        position -= freeCapacity(*target, meanServiceTimeMs);
        if (position < 0.0) {
            return target;
        }
    }
    return candidates.back();
}

} // namespace rhubarblane
