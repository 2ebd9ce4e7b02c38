#ifndef RHUBARBLANE_RELAY_BALANCERPEERS_H
#define RHUBARBLANE_RELAY_BALANCERPEERS_H

#include "base/clock.h"
#include "relay/evacuations.h"
#include "relay/peerdirectory.h"
#include "relay/peerrotation.h"
#include "relay/relayoutput.h"
#include "relay/relaytypes.h"
#include "relay/seedcontacts.h"
#include "relay/tablefreshness.h"

#include <cstddef>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarblane
{

/** Discovers other processes for a balancer, and announces the balancer and its service table's version to them. */
class BalancerPeers
{
public:
    /** `freshness` and `output` must outlive the object. */
    BalancerPeers(
        Timestamp now, Peer self, std::vector<PeerAddress> seeds, const TableFreshness &freshness, RelayOutput &output);

    const PeerDirectory &directory() const
    {
        return directory_;
    }

    /**
     * Sets the table version that hello messages announce. A part of the balancers is notified immediately; each of
     * them fetches the table and notifies others.
     */
    void setTableVersion(Timestamp now, TableVersion version);

    /**
     * Sets the evacuations that hello messages announce. If zones have changed, a part of the balancers and the agents
     * of these zones are notified immediately.
     */
    void setEvacuations(Timestamp now, const EvacuatedZones &state, const std::set<std::string> &changedZones);

    /** Announces a check of the table with the next hello messages, which are sent immediately. */
    void announceTableCheck(Timestamp now);

    /**
     * Records a message from the peer itself and sends a hello to a new peer or a new incarnation. Returns false for a
     * message of an earlier incarnation.
     */
    bool recordContact(Timestamp now, const Peer &peer);

    /** Records that the store or another process listed the peer, and sends a hello to a new peer. */
    void recordMention(Timestamp now, const Peer &peer, std::string_view source);

    /** Removes a peer that announced its exit. */
    void remove(const Peer &peer);

    /** Sends the hello messages that are due. */
    void onTick(Timestamp now);

    /** Removes expired peers and counts the active balancers. Must be called about once a second. */
    void sweep(Timestamp now);

    /** Notifies all peers that this process exits. */
    void announceLeave(Timestamp now);

    /** Returns the number of balancers that sent a message within the last 4 s. */
    std::size_t activeBalancers() const
    {
        return activeBalancers_;
    }

private:
    /** Returns the agents of these availability zones that this balancer notifies of a change. */
    std::vector<const PeerDirectory::Entry *> agentsToNotify(const std::set<std::string> &zones) const;
    void sendHello(Timestamp now, const Peer &peer, std::size_t peerLimit);
    void sendHellos(Timestamp now, PeerRole role, const std::vector<const PeerDirectory::Entry *> &receivers);
    wire::relay::Message makeHello(Timestamp now, std::size_t peerLimit, PeerRole receiver);

    Timestamp started_;
    PeerDirectory directory_;
    SeedContacts seeds_;
    const TableFreshness &freshness_;
    RelayOutput &output_;
    PeerRotation balancerRotation_;
    TableVersion tableVersion_;
    EvacuatedZones evacuations_;
    Timestamp nextBalancerHello_;
    Timestamp nextAgentHello_;
    /** Round-robin position in the recently active peers, from which the next hello message lists peers. */
    std::size_t nextPeer_ = 0;
    std::size_t activeBalancers_ = 0;
    bool leaving_ = false;
};

} // namespace rhubarblane

#endif
