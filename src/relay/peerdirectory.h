#ifndef RHUBARBLANE_RELAY_PEERDIRECTORY_H
#define RHUBARBLANE_RELAY_PEERDIRECTORY_H

#include "base/clock.h"
#include "relay/relaytypes.h"
#include "wire/generated/relay.pb.h"
#include "wire/peeraddress.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rhubarblane
{

enum class PeerRole {
    Balancer,
    Agent,
};

/** A process of the deployment. */
struct Peer {
    std::string name;
    PeerRole role = PeerRole::Balancer;
    std::string availabilityZone;
    PeerAddress address;
    /** Start time of the process in Unix milliseconds. */
    std::uint64_t incarnation = 0;

    PeerId id() const
    {
        return peerIdOf(name);
    }
};

wire::relay::Peer toWire(const Peer &peer);

/**
 * Decodes a peer from a message or a store entry. Returns nullopt if another writer made it: without a name, with a
 * text or number out of range, or with an address that no process can have.
 */
std::optional<Peer> peerFromWire(const wire::relay::Peer &encoded);

/** The other processes of the deployment, as learned from the store and from messages. */
class PeerDirectory
{
public:
    struct Entry {
        Peer peer;
        std::optional<Timestamp> lastContact;
        Timestamp lastMention;
    };

    explicit PeerDirectory(Peer self);

    const Peer &self() const
    {
        return self_;
    }

    /** Records a message from the peer itself. Returns false for a message of an earlier incarnation. */
    bool recordContact(Timestamp now, const Peer &peer);

    /** Records that the store or another process listed the peer. Returns true if the peer is new. */
    bool recordMention(Timestamp now, const Peer &peer);

    /** Removes a peer that announced its exit. */
    void remove(PeerId peer);

    /** Removes and returns the peers that were neither listed nor in contact for the retention period. */
    std::vector<Peer> expire(Timestamp now);

    const Entry *find(PeerId peer) const;

    std::vector<const Entry *> withRole(PeerRole role) const;

    /** Returns the peers that sent a message to this process within the last 4 s. */
    std::vector<const Entry *> recentContacts(Timestamp now) const;

private:
    void removeOthersAt(const Peer &peer);

    Peer self_;
    std::map<PeerId, Entry> entries_;
};

} // namespace rhubarblane

#endif
