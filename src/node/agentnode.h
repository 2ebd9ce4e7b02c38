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

/** A relaying agent with its sockets and threads. */
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

    /** Ends the threads. Call it after the loop has ended. */
    void stop();

    /** Acts on a status report of the target; false if the process ends. Any thread but the loop's. */
    bool handleTargetReport(const TargetReport &report);

    /** The target says that it has ended; false if the process ends. Any thread but the loop's. */
    bool handleTargetLeft(const std::string &target);

    /** Metrics in the Prometheus text format. May be called on any thread but the loop's. */
    std::string metrics();

    /** What the node knows, as JSON. May be called on any thread but the loop's. */
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
