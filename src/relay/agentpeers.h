#ifndef RHUBARBLANE_RELAY_AGENTPEERS_H
#define RHUBARBLANE_RELAY_AGENTPEERS_H

#include "base/clock.h"
#include "relay/evacuations.h"
#include "relay/peerdirectory.h"
#include "relay/relayoutput.h"
#include "relay/seedcontacts.h"
#include "wire/generated/relay.pb.h"

#include <vector>

namespace rhubarblane
{

/** Tracks the balancers that an agent knows and schedules the load reports to them. */
class AgentPeers
{
public:
    /** `output` must outlive the object. */
    AgentPeers(Peer self, std::vector<PeerAddress> seeds, RelayOutput &output);

    const PeerDirectory &directory() const
    {
        return directory_;
    }

    /** Records a message from the balancer itself. Returns true if this incarnation has not received a report yet. */
    bool recordContact(Timestamp now, const Peer &balancer);

    /** Records that another balancer listed the peer. Agents are ignored. */
    void recordMention(Timestamp now, const Peer &peer);

    /** Records that the store lists the peer. Agents are ignored. */
    void recordStoreEntry(Timestamp now, const Peer &peer);

    /** Makes the next report to all balancers due immediately. */
    void requestReport(Timestamp now)
    {
        nextReport_ = now;
        nextOtherZoneReport_ = now;
    }

    bool isReportDue(Timestamp now) const
    {
        return now >= nextReport_;
    }

    /**
     * Sends a report to the balancers that are due: those in the own availability zone each time, the others possibly
     * less often. Seeds that are not known as balancers get it at their contact interval.
     */
    void sendReport(Timestamp now, wire::relay::Report report);

    /** Sends a report to one balancer, in addition to the periodic ones. */
    void sendReportTo(const Peer &balancer, wire::relay::Report report);

    /** Tells a balancer that offered a flow in vain which zones are evacuated. */
    void sendEvacuations(const PeerAddress &balancer, const EvacuatedZones &state);

    /** Notifies the balancers that the agent exits, and whether its target has ended. */
    void announceLeave(bool targetEnded);

    /** Removes expired peers; see PeerDirectory::expire(). */
    void expire(Timestamp now);

private:
    /**
     * Returns the interval between reports to a balancer. It grows with the number of balancers, further for those in
     * other availability zones.
     */
    Milliseconds reportInterval(bool sameZone) const;
    bool isInSameZone(const Peer &balancer) const;

    PeerDirectory directory_;
    SeedContacts seeds_;
    RelayOutput &output_;
    Timestamp nextReport_;
    Timestamp nextOtherZoneReport_;
};

} // namespace rhubarblane

#endif
