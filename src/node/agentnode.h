#ifndef RHUBARBLANE_NODE_AGENTNODE_H
#define RHUBARBLANE_NODE_AGENTNODE_H

#include "node/nodesettings.h"
#include "node/peerregistration.h"
#include "node/registrationthread.h"
#include "node/relaysockets.h"
#include "relay/relayagent.h"
#include "runtime/eventloop.h"
#include "store/configstore.h"

#include <memory>
#include <optional>
#include <string>

namespace rhubarblane
{

/** Runs a RelayAgent with its sockets and threads. */
class AgentNode
{
public:
    /** All references must outlive the node. */
    AgentNode(const NodeSettings &settings,
              const Peer &self,
              EventLoop &loop,
              const PacketFormat &format,
              ConfigStore &store);

    std::optional<Error> start();

    /** Stops the threads. Must be called after the event loop has ended. */
    void stop();

    /**
     * Applies a status report of the target. Returns false if the event loop has ended. May be called on any thread but
     * the loop's.
     */
    bool handleTargetReport(const TargetReport &report);

    /**
     * Handles the notification of the target that it has ended. Returns false if the event loop has ended. May be
     * called on any thread but the loop's.
     */
    bool handleTargetLeft(const std::string &target);

    /** Returns the metrics in the Prometheus text format. May be called on any thread but the loop's. */
    std::string metrics();

    /** Returns the node's state as JSON. May be called on any thread but the loop's. */
    std::string dump();

private:
    void tick(Timestamp now);

    EventLoop &loop_;
    RelaySockets sockets_;
    RelayAgent core_;
    PeerRegistration registration_;
    std::unique_ptr<RegistrationThread> registrationThread_;
};

} // namespace rhubarblane

#endif
