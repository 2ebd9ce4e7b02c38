#ifndef RHUBARBLANE_NODE_PEERREGISTRATION_H
#define RHUBARBLANE_NODE_PEERREGISTRATION_H

#include "base/clock.h"
#include "relay/leasehistory.h"
#include "relay/peerdirectory.h"
#include "store/configstore.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace rhubarblane
{

/** Prefix of the store keys of all process entries. */
extern const std::string peerEntryPrefix;

/**
 * Keeps this process's entry in the store under a lease and reads the entries of its peers. Each step does the work
 * that is due and blocks during its store calls.
 *
 * The list of peers has gaps after an outage in which leases expired. Balancers therefore mark their entries as settled
 * once they have stood for EntryRecoveryPeriod; a settled entry in a list proves that it has no such gaps. Entries that
 * were settled before a restore of the store prove nothing.
 */
class PeerRegistration
{
public:
    using PeersHandler = std::function<void(const std::vector<Peer> &peers, LeaseHistory leases)>;
    using LogHandler = std::function<void(const std::string &event, const std::string &detail)>;

    /** `store` must outlive the registration. */
    PeerRegistration(ConfigStore &store, Peer self, PeersHandler onPeers, LogHandler onLog);

    /** Runs one step and returns the time to wait before the next one. */
    Milliseconds step(Timestamp now);

    /**
     * Removes the entry at the end of the process, so that balancers do not wait for reports of this process. Makes a
     * single attempt.
     */
    void withdraw();

    bool isRegistered() const
    {
        return registered_;
    }

private:
    /** The current entry of this process. */
    struct OwnEntry {
        Timestamp written; ///< Time of the first write under the current lease.
        StorePosition position;
        bool settled = false; ///< See wire::relay::Peer.
    };

    std::optional<Error> registerSelf(Timestamp now);
    /** Looks for a settled entry of an earlier start, before the first entry of this start replaces it. */
    std::optional<Error> readEarlierEntry();
    /** Writes the entry under the current lease if the key has the revision `replaced`, or always without one. */
    Outcome<StorePosition> writeEntry(bool settled, std::optional<Revision> replaced);
    /** Returns true if the entry of a balancer has stood for so long that it must be marked as settled. */
    bool isSettlingDue(Timestamp now) const;
    std::optional<Error> settleEntry(Timestamp now);
    std::optional<Error> renewLease(Timestamp now);
    std::optional<Error> readPeers(Timestamp now);
    std::optional<Error> deleteEntry();
    void updateStoreAvailability(const std::optional<Error> &error);

    ConfigStore &store_;
    Peer self_;
    PeersHandler onPeers_;
    LogHandler onLog_;
    std::string key_;
    GrantedLease lease_;
    bool registered_ = false;
    bool storeAvailable_ = true;
    /** Position of the settled entry of an earlier start, until this start tries to replace it. */
    std::optional<StorePosition> earlierEntry_;
    bool earlierEntryRead_ = false;
    OwnEntry entry_;
    bool peersRead_ = false;
    /** A call has failed before the peers were first read. */
    bool failedBeforePeersRead_ = false;
    /** Whether the next read of the entries must bypass the store's cache. */
    bool bypassCache_ = true;
    Timestamp nextRenewal_;
    Timestamp nextRead_;
};

} // namespace rhubarblane

#endif
