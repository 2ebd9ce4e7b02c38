#include "relay/agentpeers.h"

#include "relay/reportinterval.h"

#include <algorithm>
#include <utility>

namespace rhubarblane
{

namespace
{

// Reports that an agent sends per second, within the limits of the report intervals; with more balancers the intervals
// grow. With 61 agents, a balancer with 0.028 of a core spends a tenth of it on reports.
constexpr std::int64_t ReportsPerSecond = 40;

} // namespace

AgentPeers::AgentPeers(Peer self, std::vector<PeerAddress> seeds, RelayOutput &output)
    : directory_(std::move(self))
    , seeds_(std::move(seeds))
    , output_(output)
{
}

bool AgentPeers::recordContact(Timestamp now, const Peer &balancer)
{
    const PeerDirectory::Entry *known = directory_.find(balancer.id());
    if (known == nullptr) {
        output_.logDecision("peerFound", {{"peer", balancer.name}, {"from", "hello"}});
    }
    // The store may have listed a balancer before it could receive reports.
    const bool isNewStart = known == nullptr || !known->lastContact || known->peer.incarnation != balancer.incarnation;
    return directory_.recordContact(now, balancer) && isNewStart;
}

void AgentPeers::recordMention(Timestamp now, const Peer &peer)
{
    if (peer.role == PeerRole::Balancer) {
        directory_.recordMention(now, peer);
    }
}

void AgentPeers::recordStoreEntry(Timestamp now, const Peer &peer)
{
    if (peer.role != PeerRole::Balancer) {
        return;
    }
    if (directory_.recordMention(now, peer)) {
        output_.logDecision("peerFound", {{"peer", peer.name}, {"from", "store"}});
        requestReport(now);
    }
}

void AgentPeers::sendReport(Timestamp now, wire::relay::Report report)
{
    const Milliseconds interval = reportInterval(true);
    const Milliseconds otherZoneInterval = reportInterval(false);
    const bool otherZonesDue = now >= nextOtherZoneReport_;
    wire::relay::Message message;
    *message.mutable_report() = std::move(report);
    for (const PeerDirectory::Entry *balancer : directory_.withRole(PeerRole::Balancer)) {
        const bool sameZone = isInSameZone(balancer->peer);
        if (sameZone || otherZonesDue) {
            const Milliseconds announced = sameZone ? interval : otherZoneInterval;
            message.mutable_report()->set_interval_ms(static_cast<std::uint32_t>(announced.count()));
            output_.sendToPeer(balancer->peer.address, message);
        }
    }
    for (const PeerAddress &seed : seeds_.due(now, directory_)) {
        output_.sendToPeer(seed, message);
    }
    if (otherZonesDue) {
        nextOtherZoneReport_ = now + otherZoneInterval;
    }
    nextReport_ = now + interval;
}

void AgentPeers::sendReportTo(const Peer &balancer, wire::relay::Report report)
{
    report.set_interval_ms(static_cast<std::uint32_t>(reportInterval(isInSameZone(balancer)).count()));
    wire::relay::Message message;
    *message.mutable_report() = std::move(report);
    output_.sendToPeer(balancer.address, message);
}

void AgentPeers::sendEvacuations(const PeerAddress &balancer, const EvacuatedZones &state)
{
    wire::relay::Message message;
    wire::relay::Hello *hello = message.mutable_hello();
    *hello->mutable_sender() = toWire(directory_.self());
    *hello->mutable_evacuations() = toWire(state);
    output_.sendToPeer(balancer, message);
}

Milliseconds AgentPeers::reportInterval(bool sameZone) const
{
    const Milliseconds spread(static_cast<std::int64_t>(directory_.withRole(PeerRole::Balancer).size()) * 1000
                              / ReportsPerSecond);
    if (spread > LongestReportInterval && !sameZone) {
        // Reports to other availability zones accompany every second one to the own availability zone.
        return LongestOtherZoneReportInterval;
    }
    return std::clamp(spread, ShortestReportInterval, LongestReportInterval);
}

bool AgentPeers::isInSameZone(const Peer &balancer) const
{
    return balancer.availabilityZone == directory_.self().availabilityZone;
}

void AgentPeers::announceLeave(bool targetEnded)
{
    wire::relay::Message message;
    wire::relay::Hello *hello = message.mutable_hello();
    *hello->mutable_sender() = toWire(directory_.self());
    hello->set_leaving(true);
    hello->set_target_ended(targetEnded);
    for (const PeerDirectory::Entry *balancer : directory_.withRole(PeerRole::Balancer)) {
        output_.sendToPeer(balancer->peer.address, message);
    }
}

void AgentPeers::expire(Timestamp now)
{
    for (const Peer &peer : directory_.expire(now)) {
        output_.logDecision("peerExpired", {{"peer", peer.name}});
    }
}

} // namespace rhubarblane
