#include "relay/peerdirectory.h"

#include <utility>

namespace rhubarblane
{

namespace
{

// Three times the interval at which the store is read, so that no peer expires after one failed read.
constexpr Milliseconds Retention(15000);
// Twice the interval of the least frequent message between peers.
constexpr Milliseconds RecentContactPeriod(4000);
// An incarnation lower than the known one is accepted after the peer has sent no message for this time, since the clock
// of a VM can be set back between two starts.
constexpr Milliseconds EarlierStartTimeout(2000);
// Keys of the store, which end with the name, have at most 200 bytes.
constexpr std::size_t MaximumNameBytes = 200;
constexpr std::uint32_t FirstMulticastAddress = 0xe0000000;
constexpr std::uint32_t MaximumPort = 65535;
// Unix milliseconds, in the year 2286. No real process could replace an entry with a later start time.
constexpr std::uint64_t LatestIncarnation = 9999999999999;

} // namespace

wire::relay::Peer toWire(const Peer &peer)
{
    wire::relay::Peer result;
    result.set_name(peer.name);
    result.set_agent(peer.role == PeerRole::Agent);
    result.set_availability_zone(peer.availabilityZone);
    result.set_address(peer.address.address);
    result.set_port(peer.address.port);
    result.set_incarnation(peer.incarnation);
    return result;
}

std::optional<Peer> peerFromWire(const wire::relay::Peer &encoded)
{
    const bool textsFit = !encoded.name().empty() && encoded.name().size() <= MaximumNameBytes
        && encoded.availability_zone().size() <= MaximumNameBytes;
    const bool addressFits = encoded.address() != 0 && encoded.address() < FirstMulticastAddress && encoded.port() != 0
        && encoded.port() <= MaximumPort;
    if (!textsFit || !addressFits || encoded.incarnation() > LatestIncarnation) {
        return std::nullopt;
    }
    return Peer {encoded.name(),
                 encoded.agent() ? PeerRole::Agent : PeerRole::Balancer,
                 encoded.availability_zone(),
                 {encoded.address(), static_cast<std::uint16_t>(encoded.port())},
                 encoded.incarnation()};
}

PeerDirectory::PeerDirectory(Peer self)
    : self_(std::move(self))
{
}

bool PeerDirectory::recordContact(Timestamp now, const Peer &peer)
{
    if (peer.name == self_.name) {
        return false;
    }
    Entry &entry = entries_[peer.id()];
    const bool earlierStart = peer.incarnation < entry.peer.incarnation;
    if (earlierStart && entry.lastContact && now - *entry.lastContact < EarlierStartTimeout) {
        return false;
    }
    entry.peer = peer;
    entry.lastContact = now;
    entry.lastMention = now;
    removeOthersAt(peer);
    return true;
}

bool PeerDirectory::recordMention(Timestamp now, const Peer &peer)
{
    if (peer.name == self_.name) {
        return false;
    }
    const auto [position, inserted] = entries_.try_emplace(peer.id(), Entry {peer, std::nullopt, now});
    Entry &entry = position->second;
    entry.lastMention = now;
    if (peer.incarnation > entry.peer.incarnation) {
        entry.peer = peer;
    }
    return inserted;
}

void PeerDirectory::remove(PeerId peer)
{
    entries_.erase(peer);
}

std::vector<Peer> PeerDirectory::expire(Timestamp now)
{
    std::vector<Peer> expired;
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        if (now - entry->second.lastMention < Retention) {
            ++entry;
            continue;
        }
        expired.push_back(entry->second.peer);
        entry = entries_.erase(entry);
    }
    return expired;
}

const PeerDirectory::Entry *PeerDirectory::find(PeerId peer) const
{
    const auto found = entries_.find(peer);
    return found == entries_.end() ? nullptr : &found->second;
}

std::vector<const PeerDirectory::Entry *> PeerDirectory::withRole(PeerRole role) const
{
    std::vector<const Entry *> result;
    for (const auto &[id, entry] : entries_) {
        if (entry.peer.role == role) {
            result.push_back(&entry);
        }
    }
    return result;
}

std::vector<const PeerDirectory::Entry *> PeerDirectory::recentContacts(Timestamp now) const
{
    std::vector<const Entry *> result;
    for (const auto &[id, entry] : entries_) {
        if (entry.lastContact && now - *entry.lastContact < RecentContactPeriod) {
            result.push_back(&entry);
        }
    }
    return result;
}

void PeerDirectory::removeOthersAt(const Peer &peer)
{
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        const bool replaced = entry->second.peer.address == peer.address && entry->second.peer.name != peer.name;
        entry = replaced ? entries_.erase(entry) : std::next(entry);
    }
}

} // namespace rhubarblane
