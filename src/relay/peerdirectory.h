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
    /** Unix milliseconds of its start. */
    std::uint64_t incarnation = 0;

    PeerId id() const
    {
        return peerIdOf(name);
    }
};

wire::relay::Peer toWire(const Peer &peer);
Peer fromWire(const wire::relay::Peer &encoded);

/** The other processes that this one knows of, from the store, from its settings and from messages. */
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

    /** A message of the peer itself arrived. Returns false for a message of an earlier start. */
    bool recordContact(Timestamp now, const Peer &peer);

    /** The store or another process names the peer. Returns true if it was not known. */
    bool recordMention(Timestamp now, const Peer &peer);

    /** The peer said that it stops. */
    void remove(PeerId peer);

    /** Forgets peers that nobody named and that sent nothing for the retention period. */
    std::vector<Peer> expire(Timestamp now);

    const Entry *find(PeerId peer) const;

    std::vector<const Entry *> withRole(PeerRole role) const;

    /** Peers that this process heard itself a moment ago. */
    std::vector<const Entry *> recentContacts(Timestamp now) const;

private:
    void removeOthersAt(const Peer &peer);

    Peer self_;
    std::map<PeerId, Entry> entries_;
};

} // namespace rhubarblane

#endif
