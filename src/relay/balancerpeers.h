#ifndef RHUBARBLANE_RELAY_BALANCERPEERS_H
#define RHUBARBLANE_RELAY_BALANCERPEERS_H

#include "base/clock.h"
#include "relay/peerdirectory.h"
#include "relay/relayoutput.h"
#include "relay/relaytypes.h"
#include "relay/seedcontacts.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace rhubarblane
{

/** How a balancer finds other processes and keeps them aware of itself and of its table's version. */
class BalancerPeers
{
public:
    /** `output` must outlive the object. */
    BalancerPeers(Timestamp now, Peer self, std::vector<PeerAddress> seeds, RelayOutput &output);

    const PeerDirectory &directory() const
    {
        return directory_;
    }

    /** What greetings say of the table in force. Balancers are told at once. */
    void setTableVersion(Timestamp now, TableVersion version);

    /** A message of the peer itself arrived. A new peer is greeted. Returns false for a message of an earlier start. */
    bool recordContact(Timestamp now, const Peer &peer);

    /** The store or another process names the peer. A new peer is greeted. */
    void recordMention(Timestamp now, const Peer &peer, std::string_view source);

    /** The peer said that it ends. */
    void remove(const Peer &peer);

    /** Sends the greetings that are due. */
    void onTick(Timestamp now);

    /** Forgets old peers and counts those that were heard. To be called about once a second. */
    void sweep(Timestamp now);

    /** Tells all peers that this process ends. */
    void announceLeave(Timestamp now);

    /** Balancers that this one heard in the last seconds. */
    std::size_t activeBalancers() const
    {
        return activeBalancers_;
    }

private:
    void sendHello(Timestamp now, const Peer &peer, std::size_t peerLimit);
    void sendHelloToAll(Timestamp now, PeerRole role);
    wire::relay::Message makeHello(Timestamp now, std::size_t peerLimit, PeerRole receiver);

    Timestamp started_;
    PeerDirectory directory_;
    SeedContacts seeds_;
    RelayOutput &output_;
    TableVersion tableVersion_;
    Timestamp nextBalancerHello_;
    Timestamp nextAgentHello_;
    /** Peers named so far; each greeting names the next ones. */
    std::size_t nextPeer_ = 0;
    std::size_t activeBalancers_ = 0;
    bool leaving_ = false;
};

} // namespace rhubarblane

#endif
