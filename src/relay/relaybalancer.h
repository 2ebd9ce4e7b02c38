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
 * The logic of the balancer process on an entry VM, for services whose targets return packets of flows that they do not
 * hold. It tracks the owners of flows, places new flows and searches for unknown owners. The class uses no sockets,
 * threads or clock.
 */
class RelayBalancer
{
public:
    /** `format` and `output` must outlive the balancer. */
    RelayBalancer(RelayBalancerSettings settings, Timestamp now, const PacketFormat &format, RelayOutput &output);

    void onCallerPacket(Timestamp now, std::string_view packet);
    void onPeerMessage(Timestamp now, const PeerAddress &from, const wire::relay::Message &message);

    /** Applies a table if it is newer than the current one. `source` is logged. */
    void onTable(Timestamp now, ServiceTable table, std::string_view source);

    /** Applies the evacuations if they are later than the known ones. `source` is logged. */
    void onEvacuations(Timestamp now, const EvacuatedZones &state, std::string_view source);

    /**
     * Returns true if the caller must compare the table with the store now, over a new connection. The caller then
     * passes a newer table to onTable() and calls onTableCheck().
     */
    bool takeTableCheck(Timestamp now);

    /** Records the end of a comparison that began at `begun`; `succeeded` is false if the store did not answer. */
    void onTableCheck(Timestamp now, Timestamp begun, bool succeeded);

    /** Adds the processes that the store lists. */
    void onStorePeers(Timestamp now, const std::vector<Peer> &peers, LeaseHistory leases);

    /**
     * Must be called at least every 20 ms. All messages of peers that arrived before `messagesRead` have been handled;
     * later messages may be unread, so timeouts of offers are measured up to `messagesRead`, not up to `now`.
     */
    void onTick(Timestamp now, Timestamp messagesRead);
    void onTick(Timestamp now)
    {
        onTick(now, now);
    }

    /** Begins a graceful shutdown: isReady() becomes false, but packets that still arrive are forwarded. */
    void beginLeave();

    /** Notifies the peers that the process exits. */
    void finishLeave(Timestamp now);

    /** Returns true if the fabric should send packets to this balancer. */
    bool isReady() const;

    const ServiceTable *table() const
    {
        return context_.table ? &*context_.table : nullptr;
    }
    const Evacuations &evacuations() const
    {
        return context_.evacuations;
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
    /** Returns the times from the first packet of a flow until a target opened it. */
    const LatencyHistogram &openTimes() const
    {
        return openTimes_;
    }
    /** Returns the time since the table was last compared with the store by any balancer; no value if it never was. */
    std::optional<Milliseconds> tableCheckAge(Timestamp now) const;

    /** Returns the number of balancers that sent a message within the last 4 s. */
    std::size_t activeBalancers() const
    {
        return context_.peers.activeBalancers();
    }

    std::size_t flows() const
    {
        return context_.flows.size();
    }
    std::size_t listedFlows() const
    {
        return finder_.listedFlows();
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
