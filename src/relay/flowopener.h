#ifndef RHUBARBLANE_RELAY_FLOWOPENER_H
#define RHUBARBLANE_RELAY_FLOWOPENER_H

#include "base/clock.h"
#include "relay/flowplacement.h"
#include "relay/relaybalancercontext.h"

#include <cstdint>
#include <deque>
#include <string_view>
#include <utility>
#include <vector>

namespace rhubarblane
{

/** Opens new flows: offers each flow to one target after the other until one accepts it, and resets it if none does. */
class FlowOpener
{
public:
    /** `context` must outlive the opener. */
    explicit FlowOpener(RelayBalancerContext &context);

    /**
     * Returns true if an opening packet begins a new flow on an address and port of which an earlier flow is recorded.
     */
    bool isNewFlowOfUsedPort(Timestamp now, const RelayPacket &head) const;

    /** Removes the record of the earlier flow of a port that is used again. */
    void forgetEarlierFlow(Timestamp now, const FlowTuple &tuple);

    /** Handles an opening packet (SYN) of a caller or a retransmission of it. */
    void open(Timestamp now, const RelayedService &service, const RelayPacket &head, std::string_view packet);

    /** Handles the opening packet of a flow that an agent returned, and makes the next offer. */
    void handleReturnedOffer(Timestamp now, const PeerAddress &agent, const FlowTuple &tuple, ReturnReason reason);

    /** Times out offers without an answer until `messagesRead`; see RelayBalancer::onTick(). */
    void onTick(Timestamp now, Timestamp messagesRead);

private:
    enum class Placement {
        Offered,
        Queued,
        Refused, ///< The record of the flow has been erased.
    };

    /**
     * Offers a new flow to the next target; `lastReturn` is the logged reason why the last target did not accept it.
     */
    Placement offerNext(Timestamp now, BalancerFlow &flow, std::string_view lastReturn);
    Placement refuse(Timestamp now, BalancerFlow &flow, Refusal refusal, std::string_view lastReturn);
    std::uint64_t &refusalCounter(Refusal refusal);
    /** Queues a new flow until the balancer knows targets. */
    void enqueue(BalancerFlow &flow);
    /** Offers the flows that were queued because no target was known. */
    void placeQueuedFlows(Timestamp now);
    /** Excludes the target of an offer without an answer, unless it is a candidate that does not answer. */
    void noteUnansweredOffer(const BalancerFlow &flow);
    Milliseconds acceptedWait(const RelayedService &service) const;

    RelayBalancerContext &context_;
    FlowPlacement placement_;
    /** Flows with possibly unanswered offers and the times of these offers, oldest first. */
    std::deque<std::pair<FlowTuple, Timestamp>> offers_;
    std::vector<FlowTuple> queuedFlows_;
};

} // namespace rhubarblane

#endif
