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
// Upper bound on the hello messages that a balancer sends per second to the peers of one role; with more peers the
// interval grows.
constexpr std::int64_t HellosPerSecond = 100;
// Keeps hello messages at about 300 bytes: 84 messages of 1,300 bytes at once occupied a link of 10 Mbit/s for 90 ms.
constexpr std::size_t PeersPerHello = 4;
// New processes learn of the others from the store and from first hello messages. After the startup period the listed
// peers only repair losses, and four of them are two thirds of a message.
constexpr std::size_t PeersPerLaterHello = 1;
// Twice the time in which processes without access to the store learn of all others.
constexpr Milliseconds StartupPeriod(20000);
// For the hello message to a process whose first message has just arrived.
constexpr std::size_t PeersPerFirstHello = 24;

Milliseconds intervalFor(std::size_t receivers, Milliseconds shortest)
{
    return std::max(shortest, Milliseconds(static_cast<std::int64_t>(receivers) * 1000 / HellosPerSecond));
}

} // namespace

BalancerPeers::BalancerPeers(Timestamp now, Peer self, std::vector<PeerAddress> seeds, RelayOutput &output)
    : started_(now)
    , directory_(std::move(self))
    , seeds_(std::move(seeds))
    , output_(output)
{
}

void BalancerPeers::setTableVersion(Timestamp now, TableVersion version)
{
    tableVersion_ = version;
    nextBalancerHello_ = now;
}

bool BalancerPeers::recordContact(Timestamp now, const Peer &peer)
{
    const bool unknown = directory_.find(peer.id()) == nullptr;
    if (!directory_.recordContact(now, peer)) {
        return false;
    }
    if (unknown) {
        output_.logDecision("peerFound", {{"peer", peer.name}, {"from", "message"}});
        sendHello(now, peer, PeersPerFirstHello);
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
        nextBalancerHello_ = now + intervalFor(directory_.withRole(PeerRole::Balancer).size(), BalancerHelloInterval);
        sendHelloToAll(now, PeerRole::Balancer);
    }
    if (now >= nextAgentHello_) {
        nextAgentHello_ = now + intervalFor(directory_.withRole(PeerRole::Agent).size(), AgentHelloInterval);
        sendHelloToAll(now, PeerRole::Agent);
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
    sendHelloToAll(now, PeerRole::Balancer);
    sendHelloToAll(now, PeerRole::Agent);
}

void BalancerPeers::sendHello(Timestamp now, const Peer &peer, std::size_t peerLimit)
{
    output_.sendToPeer(peer.address, makeHello(now, peerLimit, peer.role));
}

void BalancerPeers::sendHelloToAll(Timestamp now, PeerRole role)
{
    const std::size_t peerLimit = now - started_ < StartupPeriod ? PeersPerHello : PeersPerLaterHello;
    const wire::relay::Message message = makeHello(now, peerLimit, role);
    for (const PeerDirectory::Entry *entry : directory_.withRole(role)) {
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
    std::vector<const PeerDirectory::Entry *> recent = directory_.recentContacts(now);
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
