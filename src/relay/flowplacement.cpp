#include "relay/flowplacement.h"

#include "relay/handon.h"

#include <algorithm>
#include <cmath>

namespace rhubarblane
{

namespace
{

// Three offers to targets with a free slot result in the least imbalance; see docs/decisions.md.
constexpr std::size_t OffersWithFreeSlot = 3;
// Agents to which the packet of an offer is handed on if the first one has no room. A third one costs more messages
// and bytes than it saves; see docs/decisions.md.
constexpr std::size_t OfferCandidates = 2;
// Targets to which a more urgent flow is offered at most, but for the last hand-on. Loads do not tell how many of the
// requests are less urgent, so the agents decide.
constexpr std::size_t TargetsOfMoreUrgent = 5;
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

/**
 * Estimates the requests at the target. Those of its last load and of later offers end in the course of time, while
 * other balancers place further ones: the estimate tends to the number that the measured utilization implies. If it
 * tended to none, all balancers would choose the target with the shortest service time at once.
 */
double expectedRequests(Timestamp now, const KnownTarget &target, double serviceTimeMs)
{
    const double known = target.busy + target.opening + target.offered;
    const double steady = target.utilization * target.slots;
    const auto age = static_cast<double>(std::max<std::int64_t>(0, (now - target.loadTime).count()));
    const double change = age / serviceTimeMs * target.slots;
    return known > steady ? std::max(steady, known - change) : std::min(steady, known + change);
}

std::vector<const KnownTarget *> usableOf(Timestamp now, const std::vector<const KnownTarget *> &group)
{
    std::vector<const KnownTarget *> usable;
    std::copy_if(group.begin(), group.end(), std::back_inserter(usable), [now](const KnownTarget *target) {
        return TargetDirectory::isUsable(now, *target);
    });
    return usable;
}

std::vector<const KnownTarget *> withoutEvacuated(std::vector<const KnownTarget *> targets)
{
    const auto isEvacuated = [](const KnownTarget *target) { return target->evacuated; };
    targets.erase(std::remove_if(targets.begin(), targets.end(), isEvacuated), targets.end());
    return targets;
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
    switch (refusal) {
    case Refusal::NoTarget:
        return "noTarget";
    case Refusal::Evacuated:
        return "evacuated";
    case Refusal::Overload:
        return "overload";
    }
    return "invalid";
}

void OfferHistory::noteOffer(const Offer &offer)
{
    tried.push_back(offer.agent);
    tried.insert(tried.end(), offer.candidates.begin(), offer.candidates.end());
    lastOfferMade = offer.last;
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
    const double waiting = std::max(0.0, requests + 1.0 - target->slots);
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
            TargetEstimate {
                static_cast<std::uint32_t>(std::lround(requests)), target->serviceTimeMs, now - target->loadTime},
            {}};
}

std::variant<Offer, Refusal> FlowPlacement::next(Timestamp now,
                                                 const std::vector<const KnownTarget *> &group,
                                                 const OfferHistory &history,
                                                 Milliseconds acceptedWait,
                                                 bool moreUrgent)
{
    const std::vector<const KnownTarget *> ready = usableOf(now, group);
    const std::vector<const KnownTarget *> usable = withoutEjected(withoutEvacuated(ready));
    if (usable.empty()) {
        return ready.empty() ? Refusal::NoTarget : Refusal::Evacuated;
    }
    if (history.lastOfferMade) {
        return Refusal::Overload;
    }
    const double mean = meanServiceTime(usable);
    std::vector<Candidate> withQueue;
    std::vector<Candidate> withFreeSlot;
    std::vector<Candidate> all;
    for (const KnownTarget *target : usable) {
        if (isAtColdLimit(now, *target)) {
            continue;
        }
        const Candidate candidate(now, *target, mean);
        all.push_back(candidate);
        if (candidate.requests < target->slots && !contains(history.tried, target->agent.address)) {
            withFreeSlot.push_back(candidate);
        }
        if (candidate.requests < target->slots + QueueLimit) {
            withQueue.push_back(candidate);
        }
    }
    if (!withFreeSlot.empty() && history.tried.size() < OffersWithFreeSlot) {
        const Candidate first = chooseFree(withFreeSlot);
        Offer offer = first.offer(now, Milliseconds(0), false);
        offer.candidates = chooseFurther(std::move(withFreeSlot), first, OfferCandidates);
        return offer;
    }
    if (moreUrgent) {
        return offerToBusy(now, std::move(all), history, acceptedWait);
    }
    if (withQueue.empty()) {
        return Refusal::Overload;
    }
    const Candidate first = chooseFree(withQueue);
    Offer offer = first.offer(now, acceptedWait, true);
    offer.candidates = chooseFurther(std::move(withQueue), first, OfferCandidates);
    return offer;
}

std::variant<Offer, Refusal> FlowPlacement::offerToBusy(Timestamp now,
                                                        std::vector<Candidate> candidates,
                                                        const OfferHistory &history,
                                                        Milliseconds acceptedWait)
{
    std::vector<Candidate> chosen;
    while (chosen.size() <= OfferCandidates) {
        const auto isTried = [&](const Candidate &candidate) {
            return contains(history.tried, candidate.target->agent.address)
                || (!chosen.empty() && chosen.back().target == candidate.target);
        };
        candidates.erase(std::remove_if(candidates.begin(), candidates.end(), isTried), candidates.end());
        if (candidates.empty()) {
            break;
        }
        // The faster of two drawn targets, so that balancers with equal knowledge do not choose the same one.
        std::uniform_int_distribution<std::size_t> draw(0, candidates.size() - 1);
        const Candidate &first = candidates[draw(random_)];
        const Candidate &second = candidates[draw(random_)];
        chosen.push_back(second.expectedTime() < first.expectedTime() ? second : first);
    }
    if (chosen.empty()) {
        return Refusal::Overload;
    }
    const bool last = history.tried.size() + chosen.size() >= TargetsOfMoreUrgent;
    Offer offer = chosen.front().offer(now, acceptedWait, last);
    for (std::size_t i = 1; i < chosen.size(); ++i) {
        offer.candidates.push_back(chosen[i].target->agent.address);
    }
    return offer;
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

std::vector<PeerAddress>
FlowPlacement::chooseFurther(std::vector<Candidate> candidates, const Candidate &chosen, std::size_t limit)
{
    std::vector<PeerAddress> further;
    const KnownTarget *last = chosen.target;
    while (true) {
        candidates.erase(std::remove_if(candidates.begin(),
                                        candidates.end(),
                                        [last](const Candidate &candidate) { return candidate.target == last; }),
                         candidates.end());
        if (candidates.empty() || further.size() >= limit) {
            return further;
        }
        last = candidates.size() == 1 ? candidates.front().target : chooseFree(candidates).target;
        further.push_back(last->agent.address);
    }
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
