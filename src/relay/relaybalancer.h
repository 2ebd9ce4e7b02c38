#ifndef RHUBARBLANE_RELAY_RELAYBALANCER_H
#define RHUBARBLANE_RELAY_RELAYBALANCER_H

#include "base/clock.h"
#include "base/latencyhistogram.h"
#include "relay/balancerpeers.h"
#include "relay/flowplacement.h"
#include "relay/flowsearches.h"
#include "relay/ownedflow.h"
#include "relay/packetformat.h"
#include "relay/pausedetector.h"
#include "relay/recentflows.h"
#include "relay/relayoutput.h"
#include "relay/servicetable.h"
#include "relay/targetdirectory.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rhubarblane
{

struct RelayBalancerSettings {
    Peer self;
    /** Where peers may be reached that the store does not name yet. */
    std::vector<PeerAddress> seeds;
    /** Flows whose owner is remembered. */
    std::size_t flowLimit = 200000;
    std::uint64_t randomSeed = 1;
};

struct RelayBalancerCounters {
    std::uint64_t packetsIn = 0;
    std::uint64_t malformed = 0;
    std::uint64_t forwarded = 0;
    std::uint64_t searches = 0;
    std::uint64_t offers = 0;
    std::uint64_t offersReturned = 0;
    std::uint64_t offersUnanswered = 0;
    std::uint64_t flowsOpened = 0;
    std::uint64_t refusedUnknownService = 0;
    std::uint64_t refusedNoTarget = 0;
    std::uint64_t refusedOverload = 0;
    std::uint64_t droppedNoTable = 0;
    std::uint64_t droppedNoTarget = 0;
    std::uint64_t droppedNoFlow = 0;
    std::uint64_t flowsLost = 0;
    std::uint64_t tablesFromPeers = 0;
};

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
    void onPeersNamed(Timestamp now, const std::vector<Peer> &peers);

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
        return table_ ? &*table_ : nullptr;
    }
    const RelayBalancerCounters &counters() const
    {
        return counters_;
    }
    const TargetDirectory &targets() const
    {
        return targets_;
    }
    const PeerBook &peers() const
    {
        return peers_.book();
    }
    /** Time from the first packet of a flow until a target opened it. */
    const LatencyHistogram &openTimes() const
    {
        return openTimes_;
    }
    /** Balancers that this one heard in the last seconds. */
    std::size_t balancersHeard() const
    {
        return peers_.balancersHeard();
    }

    std::size_t flows() const
    {
        return flows_.size();
    }
    std::size_t searches() const
    {
        return searches_.size();
    }

private:
    void handleReport(Timestamp now, const PeerAddress &from, const wire::relay::Report &report);
    void handleHello(Timestamp now, const PeerAddress &from, const wire::relay::Hello &hello);
    void handleReturned(Timestamp now, const PeerAddress &from, const wire::relay::Returned &returned);
    void handleFlowAnswer(Timestamp now, const PeerAddress &from, const wire::relay::FlowAnswer &answer);
    void handleTableRequest(const PeerAddress &from, const wire::relay::TableRequest &request);

    void open(Timestamp now, const RelayedService &service, const RelayPacket &head, std::string_view packet);
    /** Offers a new flow to the next target; `lastReturn` says why the last one did not take it. */
    void offerNext(Timestamp now, OwnedFlow &flow, std::string_view lastReturn);
    void refuse(Timestamp now, OwnedFlow &flow, Refusal refusal, std::string_view lastReturn);
    void forward(const PeerAddress &agent, GroupId group, ForwardMode mode, Milliseconds wait, std::string_view packet);
    /** Asks all agents which of them holds an open flow; `except` is known not to. The packet waits for the answer. */
    void search(Timestamp now,
                const RelayedService &service,
                const RelayPacket &head,
                std::string_view packet,
                const PeerAddress &except);
    void askAgents(Timestamp now, const RelayedService &service, const FlowTuple &tuple, const PeerAddress &except);
    /** Asks again for the flows whose searches ended before the balancer knew all agents. */
    void repeatUndecidedSearches(Timestamp now);
    /** Keeps a new flow until the balancer knows targets. */
    void park(OwnedFlow &flow);
    /** Offers the new flows that came before the balancer knew any target. */
    void placeWaitingFlows(Timestamp now);
    /** Resets the caller when all agents said that they do not hold the flow. */
    void concludeSearch(Timestamp now, const FlowTuple &tuple);
    void handleSearchAnswer(Timestamp now, const PeerAddress &from, const FlowTuple &tuple, FlowPresence presence);
    void setOwner(Timestamp now, const PeerAddress &agent, const wire::relay::FlowAnswer &answer);
    bool knowsAllAgents(Timestamp now) const;
    Timestamp learningSince() const;
    /** How long after that an agent may still be unknown. */
    Milliseconds learningPeriod() const;
    /** Whether no process that this one knows ran long before it, as after a loss of power of all VMs. */
    bool startedWithAllOthers() const;
    void resetCaller(const RelayPacket &head);
    Milliseconds acceptedWait(const RelayedService &service) const;

    RelayBalancerSettings settings_;
    const PacketFormat &format_;
    RelayOutput &output_;
    BalancerPeers peers_;
    TargetDirectory targets_;
    FlowPlacement placement_;
    RecentFlows<OwnedFlow> flows_;
    std::deque<std::pair<FlowTuple, Timestamp>> offers_;
    FlowSearches searches_;
    /** New flows that found no target while the balancer learned of them. */
    std::vector<FlowTuple> unplaced_;
    PauseDetector pauses_;
    std::optional<ServiceTable> table_;
    TableAssembler assembler_;
    RelayBalancerCounters counters_;
    LatencyHistogram openTimes_;
    Timestamp started_;
    Timestamp nextSweep_;
    Timestamp nextTableRequest_;
    /** When the store's entries were read first. */
    std::optional<Timestamp> peersRead_;
    bool leaving_ = false;
};

} // namespace rhubarblane

#endif
