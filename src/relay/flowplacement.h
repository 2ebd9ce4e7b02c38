#ifndef RHUBARBLANE_RELAY_FLOWPLACEMENT_H
#define RHUBARBLANE_RELAY_FLOWPLACEMENT_H

#include "base/clock.h"
#include "relay/targetdirectory.h"
#include "wire/peeraddress.h"

#include <cstdint>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace rhubarblane
{

/** A balancer's estimate of a target's load at the time of an offer. */
struct TargetEstimate {
    std::uint32_t requests = 0;
    double serviceTimeMs = 0.0;
    Milliseconds age = Milliseconds(0);
};

/** The target for the next offer of a new flow, and how long the flow may wait there for a slot. */
struct Offer {
    PeerAddress agent;
    Milliseconds acceptedWait = Milliseconds(0);
    /** No further offer follows if this one is returned. */
    bool last = false;
    TargetEstimate estimate;
    /** Agents to which the opening packet is handed on, in this order, while they have no free slot. */
    std::vector<PeerAddress> candidates;
};

/** The reason why a new flow is refused. */
enum class Refusal {
    NoTarget, ///< No target of the group accepts new flows.
    Evacuated, ///< All targets that could accept new flows are in evacuated availability zones.
    Overload, ///< The queues of all targets are full, or all offers were returned.
};

std::string nameOf(Refusal refusal);

/** The previous offers of a new flow. */
struct OfferHistory {
    void noteOffer(const Offer &offer);

    /** The agents that got the offers, and those to which these were possibly handed on. */
    std::vector<PeerAddress> tried;
    bool lastOfferMade = false;
};

/**
 * Chooses targets for new flows by their estimated load. A flow is first offered to targets with a free slot, and
 * finally to the target with the shortest expected response time, where it may wait up to a given limit.
 */
class FlowPlacement
{
public:
    explicit FlowPlacement(std::uint64_t seed);

    /**
     * Returns the next offer; only offers to targets without a free slot carry `acceptedWait`. A flow that is
     * `moreUrgent` goes ahead of requests of other services that the targets report, so it is offered to busy targets
     * as well.
     */
    std::variant<Offer, Refusal> next(Timestamp now,
                                      const std::vector<const KnownTarget *> &group,
                                      const OfferHistory &history,
                                      Milliseconds acceptedWait,
                                      bool moreUrgent = false);

private:
    /** A target with its current load estimate. */
    struct Candidate {
        Candidate(Timestamp now, const KnownTarget &known, double meanServiceTimeMs);

        /** Returns the expected time from the offer to the end of the request, in milliseconds. */
        double expectedTime() const;
        /** Returns the unused capacity in requests per millisecond. */
        double freeCapacity() const;
        Offer offer(Timestamp now, Milliseconds acceptedWait, bool last) const;

        const KnownTarget *target;
        double serviceTimeMs;
        double requests;
    };

    /** Returns the offer of a more urgent flow to targets that seem to have no free slot. */
    std::variant<Offer, Refusal> offerToBusy(Timestamp now,
                                             std::vector<Candidate> candidates,
                                             const OfferHistory &history,
                                             Milliseconds acceptedWait);
    Candidate chooseFree(const std::vector<Candidate> &candidates);
    /** Removes `chosen` from `candidates` and returns further agents for the hand-on of its offer. */
    std::vector<PeerAddress>
    chooseFurther(std::vector<Candidate> candidates, const Candidate &chosen, std::size_t limit);
    const Candidate &drawByFreeCapacity(const std::vector<Candidate> &candidates);

    std::mt19937_64 random_;
};

} // namespace rhubarblane

#endif
