#ifndef RHUBARBLANE_NODE_BALANCERNODE_H
#define RHUBARBLANE_NODE_BALANCERNODE_H

#include "node/nodesettings.h"
#include "node/peerregistration.h"
#include "node/registrationthread.h"
#include "node/relaysockets.h"
#include "node/tablewatcher.h"
#include "node/workerthread.h"
#include "relay/relaybalancer.h"
#include "runtime/eventloop.h"
#include "store/configstore.h"

#include <atomic>
#include <memory>
#include <optional>
#include <string>

namespace rhubarblane
{

/** Runs a RelayBalancer with its sockets and threads. */
class BalancerNode
{
public:
    /**
     * All references must outlive the node. `tableKey` is the store key whose value `decode` parses; `evacuationKeys`
     * are read if the settings call for evacuations.
     */
    BalancerNode(const NodeSettings &settings,
                 const Peer &self,
                 EventLoop &loop,
                 const PacketFormat &format,
                 ConfigStore &store,
                 std::string tableKey,
                 TableWatcher::Decoder decode,
                 EvacuationKeys evacuationKeys);

    std::optional<Error> start();

    /** Stops the threads. Must be called after the event loop has ended. */
    void stop();

    /** Returns whether the balancer accepts packets. May be called on any thread. */
    bool isReady() const
    {
        return ready_;
    }

    /** Returns the metrics in the Prometheus text format. May be called on any thread but the loop's. */
    std::string metrics();

    /** Returns the node's state as JSON. May be called on any thread but the loop's. */
    std::string dump();

private:
    void tick(Timestamp now);
    void terminate();
    /** Makes a requested check of the table; runs on its own thread. */
    Milliseconds checkTable();

    EventLoop &loop_;
    ConfigStore &store_;
    RelaySockets sockets_;
    RelayBalancer core_;
    PeerRegistration registration_;
    TableWatcher watcher_;
    std::atomic<bool> ready_ = false;
    std::atomic<bool> shuttingDown_ = false;
    std::atomic<bool> checkRequested_ = false;
    std::optional<Timestamp> exitAt_;
    std::unique_ptr<RegistrationThread> registrationThread_;
    std::unique_ptr<WorkerThread> watcherThread_;
    /** Compares the table with the store while the watcher's thread waits for changes. */
    std::unique_ptr<WorkerThread> checkThread_;
};

} // namespace rhubarblane

#endif
