#ifndef RHUBARBLANE_RELAY_AGENTPEERS_H
#define RHUBARBLANE_RELAY_AGENTPEERS_H

#include "base/clock.h"
#include "relay/peerdirectory.h"
#include "relay/relayoutput.h"
#include "relay/seedcontacts.h"
#include "wire/generated/relay.pb.h"

#include <vector>

namespace rhubarblane
{

/** The balancers that an agent knows, and when they get its reports. */
class AgentPeers
{
public:
    /** `output` must outlive the object. */
    AgentPeers(Peer self, std::vector<PeerAddress> seeds, RelayOutput &output);

    const PeerDirectory &directory() const
    {
        return directory_;
    }

    /** A message of the balancer itself arrived. Returns true if this start of it has had no report yet. */
    bool recordContact(Timestamp now, const Peer &balancer);

    /** Another balancer names the peer. Agents are ignored. */
    void recordMention(Timestamp now, const Peer &peer);

    /** The store names the peer. Agents are ignored. */
    void recordStoreEntry(Timestamp now, const Peer &peer);

    void remove(const Peer &peer);

    /** The next report is due at once. */
    void requestReport(Timestamp now)
    {
        nextReport_ = now;
    }

    bool isReportDue(Timestamp now) const
    {
        return now >= nextReport_;
    }

    /** Sends a report to all balancers, and now and then to seeds that are not known as balancers. */
    void sendReport(Timestamp now, wire::relay::Report report);

    /** Sends a report to one balancer, beside the regular ones. */
    void sendReportTo(const Peer &balancer, wire::relay::Report report);

    /** Tells the balancers that the agent ends now, and whether its target has ended. */
    void announceLeave(bool targetEnded);

    /** Forgets old peers. */
    void expire(Timestamp now);

private:
    /** Grows with the number of balancers. */
    Milliseconds reportInterval() const;

    PeerDirectory directory_;
    SeedContacts seeds_;
    RelayOutput &output_;
    Timestamp nextReport_;
};

} // namespace rhubarblane

#endif
