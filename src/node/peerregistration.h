#ifndef RHUBARBLANE_NODE_PEERREGISTRATION_H
#define RHUBARBLANE_NODE_PEERREGISTRATION_H

#include "base/clock.h"
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
 */
class PeerRegistration
{
public:
    using PeersHandler = std::function<void(const std::vector<Peer> &peers)>;
    using LogHandler = std::function<void(const std::string &event, const std::string &detail)>;

    /** `store` must outlive the registration. */
    PeerRegistration(ConfigStore &store, Peer self, PeersHandler onPeers, LogHandler onLog);

    /** Runs one step and returns the time to wait before the next one. */
    Milliseconds step(Timestamp now);

    /**
     * Revokes the lease at the end of the process, so that balancers do not wait for reports of this process. Makes a
     * single attempt.
     */
    void withdraw();

    bool isRegistered() const
    {
        return registered_;
    }

private:
    std::optional<Error> registerSelf(Timestamp now);
    std::optional<Error> renewLease(Timestamp now);
    std::optional<Error> readPeers(Timestamp now);
    void updateStoreAvailability(const std::optional<Error> &error);

    ConfigStore &store_;
    Peer self_;
    PeersHandler onPeers_;
    LogHandler onLog_;
    std::string key_;
    LeaseId lease_;
    bool registered_ = false;
    bool storeAvailable_ = true;
    /** Whether the next read of the entries must bypass the store's cache. */
    bool bypassCache_ = true;
    Timestamp nextRenewal_;
    Timestamp nextRead_;
};

} // namespace rhubarblane

#endif
