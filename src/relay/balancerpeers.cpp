#include "relay/balancerpeers.h"

#include <algorithm>
#include <string>
#include <utility>

namespace rhubarblane
{

namespace
{

// A newer table must reach balancers without access to the store within the platform's limit of 3 s, even if one
// datagram is lost.
constexpr Milliseconds BalancerHelloInterval(500);
// Half of the time after which a peer no longer counts as recently active.
constexpr Milliseconds AgentHelloInterval(2000);
// A third of the time for which a peer without messages is kept.
constexpr Milliseconds MaximumAgentHelloInterval(5000);
// Hello messages to agents per second, below the maximum interval.
constexpr std::int64_t AgentHellosPerSecond = 50;
// Receivers of the hello messages of one interval. Balancers that learn of a newer table notify as many in turn, so
// that it reaches 300 balancers in three hops.
constexpr std::size_t MinimumHelloFanout = 16;
// Bounds the messages per second to 100 for each balancer.
constexpr std::size_t MaximumHelloFanout = 50;
// With 16 to 50 receivers in an interval of 500 ms, each balancer gets a hello message within the 4 s for which it
// counts the sender as active.
constexpr std::size_t HelloIntervalsPerRound = 6;
// Keeps hello messages at about 300 bytes: 84 messages of 1,300 bytes at once occupied a link of 10 Mbit/s for 90 ms.
constexpr std::size_t PeersPerHello = 4;
// New processes learn of the others from the store and from first hello messages. After the startup period the listed
// peers only repair losses, and four of them are two thirds of a message.
constexpr std::size_t PeersPerLaterHello = 1;
// Twice the time in which processes without access to the store learn of all others.
constexpr Milliseconds StartupPeriod(20000);
// For the hello message to a process whose first message has just arrived.
constexpr std::size_t PeersPerFirstHello = 24;

// Agents that a balancer notifies of an evacuation immediately, 30 kB at once. In a fleet with more agents to a zone,
// the balancers together notify each of them several times.
constexpr std::size_t MaximumNotifiedAgents = 100;

Milliseconds agentHelloInterval(std::size_t agents)
{
    return std::clamp(Milliseconds(static_cast<std::int64_t>(agents) * 1000 / AgentHellosPerSecond),
                      AgentHelloInterval,
                      MaximumAgentHelloInterval);
}

std::size_t helloFanout(std::size_t balancers)
{
    return std::clamp(
        (balancers + HelloIntervalsPerRound - 1) / HelloIntervalsPerRound, MinimumHelloFanout, MaximumHelloFanout);
}

} // namespace

BalancerPeers::BalancerPeers(
    Timestamp now, Peer self, std::vector<PeerAddress> seeds, const TableFreshness &freshness, RelayOutput &output)
    : started_(now)
    , directory_(std::move(self))
    , seeds_(std::move(seeds))
    , freshness_(freshness)
    , output_(output)
    , balancerRotation_(directory_.self().id().value() ^ directory_.self().incarnation)
{
}

void BalancerPeers::setTableVersion(Timestamp now, TableVersion version)
{
    tableVersion_ = version;
    nextBalancerHello_ = now;
}

void BalancerPeers::setEvacuations(Timestamp now,
                                   const EvacuatedZones &state,
                                   const std::set<std::string> &changedZones)
{
    evacuations_ = state;
    if (!changedZones.empty()) {
        nextBalancerHello_ = now;
        sendHellos(now, PeerRole::Agent, agentsToNotify(changedZones));
    }
}

std::vector<const PeerDirectory::Entry *> BalancerPeers::agentsToNotify(const std::set<std::string> &zones) const
{
    std::vector<const PeerDirectory::Entry *> agents = directory_.withRole(PeerRole::Agent);
    const auto isElsewhere = [&zones](const PeerDirectory::Entry *entry) {
        return zones.count(entry->peer.availabilityZone) == 0;
    };
    agents.erase(std::remove_if(agents.begin(), agents.end(), isElsewhere), agents.end());
    if (agents.size() > MaximumNotifiedAgents) {
        // Balancers begin at different agents, so that together they notify all.
        const auto first = static_cast<std::ptrdiff_t>(directory_.self().id().value() % agents.size());
        std::rotate(agents.begin(), agents.begin() + first, agents.end());
        agents.resize(MaximumNotifiedAgents);
    }
    return agents;
}

void BalancerPeers::announceTableCheck(Timestamp now)
{
    nextBalancerHello_ = now;
}

bool BalancerPeers::recordContact(Timestamp now, const Peer &peer)
{
    const PeerDirectory::Entry *known = directory_.find(peer.id());
    const bool unknown = known == nullptr;
    const bool restarted = !unknown && known->peer.incarnation != peer.incarnation;
    if (!directory_.recordContact(now, peer)) {
        return false;
    }
    if (unknown) {
        output_.logDecision("peerFound", {{"peer", peer.name}, {"from", "message"}});
        sendHello(now, peer, PeersPerFirstHello);
    } else if (restarted) {
        // The periodic hello messages reach the new process later, one part of the fleet at a time.
        sendHello(now, peer, PeersPerHello);
    }
    return true;
}

void BalancerPeers::recordMention(Timestamp now, const Peer &peer, std::string_view source)
{
    if (directory_.recordMention(now, peer)) {
        // Agents report only to balancers that they know, so each new peer gets a hello message immediately.
        output_.logDecision("peerFound", {{"peer", peer.name}, {"from", std::string(source)}});
        sendHello(now, peer, PeersPerHello);
    }
}

void BalancerPeers::remove(const Peer &peer)
{
    directory_.remove(peer.id());
}

void BalancerPeers::onTick(Timestamp now)
{
    if (now >= nextBalancerHello_) {
        nextBalancerHello_ = now + BalancerHelloInterval;
        const std::size_t fanout = helloFanout(directory_.withRole(PeerRole::Balancer).size());
        sendHellos(now, PeerRole::Balancer, balancerRotation_.next(directory_, PeerRole::Balancer, fanout));
    }
    if (now >= nextAgentHello_) {
        const std::vector<const PeerDirectory::Entry *> agents = directory_.withRole(PeerRole::Agent);
        nextAgentHello_ = now + agentHelloInterval(agents.size());
        sendHellos(now, PeerRole::Agent, agents);
    }
    for (const PeerAddress &seed : seeds_.due(now, directory_)) {
        output_.sendToPeer(seed, makeHello(now, PeersPerHello, PeerRole::Balancer));
    }
}

void BalancerPeers::sweep(Timestamp now)
{
    for (const Peer &peer : directory_.expire(now)) {
        output_.logDecision("peerExpired", {{"peer", peer.name}});
    }
    const std::vector<const PeerDirectory::Entry *> recent = directory_.recentContacts(now);
    activeBalancers_ =
        static_cast<std::size_t>(std::count_if(recent.begin(), recent.end(), [](const PeerDirectory::Entry *entry) {
            return entry->peer.role == PeerRole::Balancer;
        }));
}

void BalancerPeers::announceLeave(Timestamp now)
{
    leaving_ = true;
    for (const PeerRole role : {PeerRole::Balancer, PeerRole::Agent}) {
        sendHellos(now, role, directory_.withRole(role));
    }
}

void BalancerPeers::sendHello(Timestamp now, const Peer &peer, std::size_t peerLimit)
{
    output_.sendToPeer(peer.address, makeHello(now, peerLimit, peer.role));
}

void BalancerPeers::sendHellos(Timestamp now, PeerRole role, const std::vector<const PeerDirectory::Entry *> &receivers)
{
    const std::size_t peerLimit = now - started_ < StartupPeriod ? PeersPerHello : PeersPerLaterHello;
    const wire::relay::Message message = makeHello(now, peerLimit, role);
    for (const PeerDirectory::Entry *entry : receivers) {
        output_.sendToPeer(entry->peer.address, message);
    }
}

wire::relay::Message BalancerPeers::makeHello(Timestamp now, std::size_t peerLimit, PeerRole receiver)
{
    wire::relay::Message message;
    wire::relay::Hello *hello = message.mutable_hello();
    *hello->mutable_sender() = toWire(directory_.self());
    hello->set_table_version(tableVersion_.value());
    hello->set_leaving(leaving_);
    if (evacuations_.asOf != StorePosition()) {
        *hello->mutable_evacuations() = toWire(evacuations_);
    }
    std::vector<const PeerDirectory::Entry *> recent = directory_.recentContacts(now);
    if (receiver == PeerRole::Balancer && freshness_.lastCheck()) {
        hello->set_table_check(freshness_.lastCheck()->id);
        hello->set_table_check_age_ms(static_cast<std::uint32_t>((now - freshness_.lastCheck()->begun).count()));
    }
    if (receiver == PeerRole::Agent) {
        // Agents need to know balancers only.
        recent.erase(
            std::remove_if(recent.begin(),
                           recent.end(),
                           [](const PeerDirectory::Entry *entry) { return entry->peer.role == PeerRole::Agent; }),
            recent.end());
    }
    for (std::size_t i = 0; i < std::min(peerLimit, recent.size()); ++i) {
        *hello->add_peers() = toWire(recent[nextPeer_++ % recent.size()]->peer);
    }
    return message;
}

} // namespace rhubarblane
