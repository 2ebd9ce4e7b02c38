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

/** All entries of processes in the store start with this. */
extern const std::string peerEntryPrefix;

/**
 * Keeps this process's entry in the store under a lease, and reads those of the others. A step does what is due; it
 * blocks while the store answers.
 */
class PeerRegistration
{
public:
    using PeersHandler = std::function<void(const std::vector<Peer> &peers)>;
    using LogHandler = std::function<void(const std::string &event, const std::string &detail)>;

    /** `store` must outlive the registration. */
    PeerRegistration(ConfigStore &store, Peer self, PeersHandler onPeers, LogHandler onLog);

    /** Returns how long to wait before the next step. */
    Milliseconds step(Timestamp now);

    /** Removes the entry at the end of the process, so that nobody waits for its reports. One try. */
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
    /** The next read of the entries must not be an old one. */
    bool bypassCache_ = true;
    Timestamp nextRenewal_;
    Timestamp nextRead_;
};

} // namespace rhubarblane

#endif
