#include "relay/flowplacement.h"

#include <algorithm>

namespace rhubarblane
{

namespace
{

// Three offers to targets with a free slot result in the least imbalance; see docs/decisions.md.
constexpr std::size_t OffersWithFreeSlot = 3;
// Used until a target of the group has measured a request; the mean service time of the reference workloads.
constexpr double DefaultServiceTimeMs = 20.0;
// Round-trip time between availability zones of the reference deployments.
constexpr double CrossZoneLatencyMs = 3.0;
// Lets a target that reported full utilization still be drawn, since its report may be outdated.
constexpr double LeastFreeShare = 0.05;
// Lower bound on a target's service time, as a share of the group's mean: a target that rejects requests answers them
// quickly and would otherwise attract all new flows. The fastest real targets are about four times as fast as the mean.
constexpr double LeastServiceTimeShare = 0.25;
// At most one in this many targets is excluded as ejected. If a fault affects the whole group, an ejected target is no
// worse than the others, so half of the group stays in use.
constexpr std::size_t EjectedShareDivisor = 2;
// By how much the utilization of a target in the own availability zone may exceed the mean of the candidates before
// flows leave the zone.
constexpr double ZoneTolerance = 0.10;

// Assumed service time of a cold target that has not measured a request, in units of the group's mean. Caches and
// connections of a new process are empty, so it must show its speed before it gets a full share of the flows.
constexpr double ColdServiceTimeFactor = 2.0;
// Openings count towards the limit of a cold target for about a second, so a number that is older tells nothing.
constexpr Milliseconds ColdOpeningsValidity(1000);

double serviceTimeOf(Timestamp now, const KnownTarget &target, double mean)
{
    if (target.serviceTimeMs > 0.0) {
        return std::max(target.serviceTimeMs, mean * LeastServiceTimeShare);
    }
    return now < target.coldUntil ? mean * ColdServiceTimeFactor : mean;
}

/** Returns true if the target is cold and, as far as known, has got all new flows that it may get at this time. */
bool isAtColdLimit(Timestamp now, const KnownTarget &target)
{
    const bool valid = now < target.coldUntil && now - target.loadTime < ColdOpeningsValidity;
    return valid && target.coldOpeningsLeft && target.offered >= *target.coldOpeningsLeft;
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

/** Estimates the requests at the target: those of its last load and of later offers, minus those that ended since. */
std::uint32_t expectedRequests(Timestamp now, const KnownTarget &target, double serviceTimeMs)
{
    const std::uint32_t known = target.busy + target.opening + target.offered;
    const auto age = static_cast<double>(std::max<std::int64_t>(0, (now - target.loadTime).count()));
    const auto ended = static_cast<std::uint32_t>(std::min(age / serviceTimeMs * target.slots, 1.0 * known));
    return known - ended;
}

std::vector<const KnownTarget *> usableOf(Timestamp now, const std::vector<const KnownTarget *> &group)
{
    std::vector<const KnownTarget *> usable;
    std::copy_if(group.begin(), group.end(), std::back_inserter(usable), [now](const KnownTarget *target) {
        return TargetDirectory::isUsable(now, *target);
    });
    return usable;
}

/** Excludes ejected targets, but at most half of the usable ones. */
std::vector<const KnownTarget *> withoutEjected(std::vector<const KnownTarget *> usable)
{
    std::size_t excluded = 0;
    const std::size_t limit = usable.size() / EjectedShareDivisor;
    const auto isExcluded = [&excluded, limit](const KnownTarget *target) {
        return target->state == TargetState::Ejected && excluded++ < limit;
    };
    usable.erase(std::remove_if(usable.begin(), usable.end(), isExcluded), usable.end());
    return usable;
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

FlowPlacement::Candidate::Candidate(Timestamp now, const KnownTarget &known, double meanServiceTimeMs)
    : target(&known)
    , serviceTimeMs(serviceTimeOf(now, known, meanServiceTimeMs))
    , requests(expectedRequests(now, known, serviceTimeMs))
{
}

double FlowPlacement::Candidate::expectedTime() const
{
    const double waiting = requests >= target->slots ? requests + 1 - target->slots : 0;
    return serviceTimeMs * (1.0 + waiting / target->slots) + (target->sameZone ? 0.0 : CrossZoneLatencyMs);
}

double FlowPlacement::Candidate::freeCapacity() const
{
    return target->slots * std::max(LeastFreeShare, 1.0 - target->utilization) / serviceTimeMs;
}

Offer FlowPlacement::Candidate::offer(Timestamp now, Milliseconds acceptedWait, bool last) const
{
    return {target->agent.address,
            acceptedWait,
            last,
            TargetEstimate {requests, target->serviceTimeMs, now - target->loadTime}};
}

std::variant<Offer, Refusal> FlowPlacement::next(Timestamp now,
                                                 const std::vector<const KnownTarget *> &group,
                                                 const OfferHistory &history,
                                                 Milliseconds acceptedWait)
{
    const std::vector<const KnownTarget *> usable = withoutEjected(usableOf(now, group));
    if (usable.empty()) {
        return Refusal::NoTarget;
    }
    if (history.lastOfferMade) {
        return Refusal::Overload;
    }
    const double mean = meanServiceTime(usable);
    std::vector<Candidate> withQueue;
    std::vector<Candidate> withFreeSlot;
    for (const KnownTarget *target : usable) {
        if (isAtColdLimit(now, *target)) {
            continue;
        }
        const Candidate candidate(now, *target, mean);
        if (candidate.requests < target->slots && !contains(history.tried, target->agent.address)) {
            withFreeSlot.push_back(candidate);
        }
        if (candidate.requests < target->slots + QueueLimit) {
            withQueue.push_back(candidate);
        }
    }
    if (!withFreeSlot.empty() && history.tried.size() < OffersWithFreeSlot) {
        return chooseFree(withFreeSlot).offer(now, Milliseconds(0), false);
    }
    if (withQueue.empty()) {
        return Refusal::Overload;
    }
    const Candidate &best =
        *std::min_element(withQueue.begin(), withQueue.end(), [](const Candidate &a, const Candidate &b) {
            return a.expectedTime() < b.expectedTime();
        });
    return best.offer(now, acceptedWait, true);
}

FlowPlacement::Candidate FlowPlacement::chooseFree(const std::vector<Candidate> &candidates)
{
    double utilization = 0.0;
    for (const Candidate &candidate : candidates) {
        utilization += candidate.target->utilization;
    }
    const double tolerated = utilization / static_cast<double>(candidates.size()) + ZoneTolerance;
    std::vector<Candidate> inZone;
    std::copy_if(
        candidates.begin(), candidates.end(), std::back_inserter(inZone), [tolerated](const Candidate &candidate) {
            return candidate.target->sameZone && candidate.target->utilization <= tolerated;
        });
    const std::vector<Candidate> &preferred = inZone.empty() ? candidates : inZone;
    const Candidate &first = drawByFreeCapacity(preferred);
    const Candidate &second = drawByFreeCapacity(preferred);
    return second.expectedTime() < first.expectedTime() ? second : first;
}

const FlowPlacement::Candidate &FlowPlacement::drawByFreeCapacity(const std::vector<Candidate> &candidates)
{
    double total = 0.0;
    for (const Candidate &candidate : candidates) {
        total += candidate.freeCapacity();
    }
    double position = std::uniform_real_distribution<double>(0.0, total)(random_);
    for (const Candidate &candidate : candidates) {
        position -= candidate.freeCapacity();
        if (position < 0.0) {
            return candidate;
        }
    }
    return candidates.back();
}

} // namespace rhubarblane
