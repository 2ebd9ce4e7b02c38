#ifndef RHUBARBLANE_RELAY_FLOWOPENER_H
#define RHUBARBLANE_RELAY_FLOWOPENER_H

#include "base/clock.h"
#include "relay/flowplacement.h"
#include "relay/relaybalancercontext.h"

#include <deque>
#include <string_view>
#include <utility>
#include <vector>

namespace rhubarblane
{

/** Opens new flows: offers each to targets until one takes it, and refuses it if none does. */
class FlowOpener
{
public:
    /** `context` must outlive the opener. */
    explicit FlowOpener(RelayBalancerContext &context);

    /** An opening packet of a caller, or a copy of one. */
    void open(Timestamp now, const RelayedService &service, const RelayPacket &head, std::string_view packet);

    /** An agent returned the opening packet of a flow. */
    void handleReturnedOffer(Timestamp now, const PeerAddress &agent, const FlowTuple &tuple, ReturnReason reason);

    /** Silence of agents counts up to `messagesRead`; see RelayBalancer::onTick(). */
    void onTick(Timestamp now, Timestamp messagesRead);

private:
    /** Offers a new flow to the next target; `lastReturn` says why the last one did not take it. */
    void offerNext(Timestamp now, BalancerFlow &flow, std::string_view lastReturn);
    void refuse(Timestamp now, BalancerFlow &flow, Refusal refusal, std::string_view lastReturn);
    /** Keeps a new flow until the balancer knows targets. */
    void enqueue(BalancerFlow &flow);
    /** Offers the new flows that came before the balancer knew any target. */
    void placeQueuedFlows(Timestamp now);
    Milliseconds acceptedWait(const RelayedService &service) const;

    RelayBalancerContext &context_;
    FlowPlacement placement_;
    /** Flows whose offers may be unanswered, with the times of the offers. */
    std::deque<std::pair<FlowTuple, Timestamp>> offers_;
    std::vector<FlowTuple> queuedFlows_;
};

} // namespace rhubarblane

#endif
