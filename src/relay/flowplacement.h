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

/** What a balancer believed of a target when it made an offer. */
struct TargetEstimate {
    std::uint32_t requests = 0;
    double serviceTimeMs = 0.0;
    Milliseconds age = Milliseconds(0);
};

/** Where a new flow goes next, and how long it may wait there for a slot. */
struct Offer {
    PeerAddress agent;
    Milliseconds acceptedWait = Milliseconds(0);
    /** No target is left after this one. */
    bool last = false;
    TargetEstimate estimate;
};

/** Why a new flow gets no offer. */
enum class Refusal {
    NoTarget, ///< No target of the group takes new flows.
    Overload, ///< The queues of all targets are full, or all offers were returned.
};

std::string nameOf(Refusal refusal);

/** The offers that a new flow has had. */
struct OfferHistory {
    std::vector<PeerAddress> tried;
    bool lastOfferMade = false;
};

/**
 * Chooses targets for new flows by what balancers know of their load. A flow is offered to some targets that must have
 * a free slot; then to the one with the shortest expected time, where it may wait up to the given limit.
 */
class FlowPlacement
{
public:
    explicit FlowPlacement(std::uint64_t seed);

    /** The next offer, with `acceptedWait` if it is the last one. */
    std::variant<Offer, Refusal> next(Timestamp now,
                                      const std::vector<const KnownTarget *> &group,
                                      const OfferHistory &history,
                                      Milliseconds acceptedWait);

private:
    /** A target with what is expected of it now. */
    struct Candidate {
        Candidate(Timestamp now, const KnownTarget &known, double meanServiceTimeMs);

        /** From the offer to the end of a request, in ms. */
        double expectedTime() const;
        /** Requests per millisecond. */
        double freeCapacity() const;
        Offer offer(Timestamp now, Milliseconds acceptedWait, bool last) const;

        const KnownTarget *target;
        double serviceTimeMs;
        std::uint32_t requests;
    };

    Candidate chooseFree(const std::vector<Candidate> &candidates);
    const Candidate &drawByFreeCapacity(const std::vector<Candidate> &candidates);

    std::mt19937_64 random_;
};

} // namespace rhubarblane

#endif
