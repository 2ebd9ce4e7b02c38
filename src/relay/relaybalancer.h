#ifndef RHUBARBLANE_RELAY_RELAYBALANCER_H
#define RHUBARBLANE_RELAY_RELAYBALANCER_H

#include "base/clock.h"
#include "base/latencyhistogram.h"
#include "relay/flowfinder.h"
#include "relay/flowopener.h"
#include "relay/relaybalancercontext.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace rhubarblane
{

/**
 * The decisions of the process on an entry VM for services whose targets return packets of flows that they do not hold.
 * It remembers where flows are, places new ones, and searches for the owners of others. No sockets, threads or clock.
 */
class RelayBalancer
{
public:
    /** `format` and `output` must outlive the balancer. */
    RelayBalancer(RelayBalancerSettings settings, Timestamp now, const PacketFormat &format, RelayOutput &output);

    void onCallerPacket(Timestamp now, std::string_view packet);
    void onPeerMessage(Timestamp now, const PeerAddress &from, const wire::relay::Message &message);

    /** A table from the store or from the operators; ignored unless it is newer. `source` is for the log. */
    void onTable(Timestamp now, ServiceTable table, std::string_view source);

    /** Processes that the store names. */
    void onStorePeers(Timestamp now, const std::vector<Peer> &peers);

    /**
     * At least every 20 ms. All messages of peers that arrived before `messagesRead` have been handled; silence after
     * that time proves nothing.
     */
    void onTick(Timestamp now, Timestamp messagesRead);
    void onTick(Timestamp now)
    {
        onTick(now, now);
    }

    /** The process stops: it asks for no more packets, but still forwards those that come. */
    void beginLeave();

    /** Tells the peers that the process ends now. */
    void finishLeave(Timestamp now);

    /** Whether the fabric should send packets here. */
    bool isReady() const;

    const ServiceTable *table() const
    {
        return context_.table ? &*context_.table : nullptr;
    }
    const RelayBalancerCounters &counters() const
    {
        return context_.counters;
    }
    const TargetDirectory &targets() const
    {
        return context_.targets;
    }
    const PeerDirectory &peers() const
    {
        return context_.peers.directory();
    }
    /** Time from the first packet of a flow until a target opened it. */
    const LatencyHistogram &openTimes() const
    {
        return openTimes_;
    }
    /** Balancers that this one heard in the last seconds. */
    std::size_t activeBalancers() const
    {
        return context_.peers.activeBalancers();
    }

    std::size_t flows() const
    {
        return context_.flows.size();
    }
    std::size_t searches() const
    {
        return finder_.size();
    }

private:
    void handleReport(Timestamp now, const PeerAddress &from, const wire::relay::Report &report);
    void handleHello(Timestamp now, const PeerAddress &from, const wire::relay::Hello &hello);
    void handleReturned(Timestamp now, const PeerAddress &from, const wire::relay::Returned &returned);
    void handleFlowAnswer(Timestamp now, const PeerAddress &from, const wire::relay::FlowAnswer &answer);
    void handleTableRequest(const PeerAddress &from, const wire::relay::TableRequest &request);

    void setOwner(Timestamp now, const PeerAddress &agent, const wire::relay::FlowAnswer &answer);

    RelayBalancerContext context_;
    FlowOpener opener_;
    FlowFinder finder_;
    TableAssembler assembler_;
    LatencyHistogram openTimes_;
    Timestamp nextSweep_;
    Timestamp nextTableRequest_;
    bool leaving_ = false;
};

} // namespace rhubarblane

#endif
