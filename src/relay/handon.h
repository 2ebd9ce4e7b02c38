#ifndef RHUBARBLANE_RELAY_HANDON_H
#define RHUBARBLANE_RELAY_HANDON_H

#include "base/clock.h"
#include "wire/generated/relay.pb.h"
#include "wire/peeraddress.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace rhubarblane
{

/**
 * The hand-on of a new flow: an agent without a free slot sends the opening packet to the next candidate that the
 * balancer named. Each step removes a candidate, so the packet cannot circulate; the last agent returns it to the
 * balancer. At equal knowledge of the load this answers the overlap of offers of many balancers with one message in
 * place of two.
 */
class HandOn
{
public:
    /** Each step takes a one-way delay of the time after which the balancer assumes that its offer is lost. */
    static constexpr std::size_t MaximumCandidates = 3;

    /** Names the candidates of an offer. */
    static void setCandidates(wire::relay::Forward &forward, const std::vector<PeerAddress> &candidates);

    /**
     * Returns the next candidate and removes it from the list; no value if the balancer must decide. `sender` is the
     * peer that sent the message.
     */
    static std::optional<PeerAddress> takeNext(wire::relay::Forward &forward, const PeerAddress &sender);

    /**
     * Returns how long the flow may wait for a slot here. While there are candidates it is half as long for each of
     * them, so that a flow waits at a short queue if there is one.
     */
    static Milliseconds acceptedWait(const wire::relay::Forward &forward);

    /** Returns the balancer that placed the flow. */
    static PeerAddress balancerOf(const wire::relay::Forward &forward, const PeerAddress &sender);
};

} // namespace rhubarblane

#endif
