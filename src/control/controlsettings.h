#ifndef RHUBARBLANE_CONTROL_CONTROLSETTINGS_H
#define RHUBARBLANE_CONTROL_CONTROLSETTINGS_H

#include "base/ids.h"
#include "model/configuration.h"
#include "wire/peeraddress.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace rhubarblane
{

/** Settings of the control server of a balancer, fixed at start. */
struct ControlSettings {
    /** Name of this balancer, unique in the deployment. */
    std::string name;
    /**
     * Region of this balancer; each region elects one reader of the store. Balancers with an empty region form one
     * region.
     */
    std::string region;
    /** HTTP listen address as "IP:PORT"; port 0 selects a free port. */
    std::string listenAddress;
    /** Listen address of the gRPC service `Peer` as "IP:PORT"; port 0 selects a free port, empty disables it. */
    std::string peerListenAddress;
    /** "http://IP:PORT" of the store; empty if this balancer has none and fetches the configuration from peers. */
    std::string storeUrl;
    /** Content of the API key file; leading and trailing white space is ignored. If empty, all writes are rejected. */
    std::string apiKey;
    /** Seed of the backoff jitter; should differ between processes so that they do not retry together. */
    std::uint64_t seed = 0;
};

/** A balancer and the configuration that it has in force, as received by gossip. */
struct BalancerRevision {
    std::string name;
    Revision revision;
    std::uint64_t digest = 0;
    /** Address of the balancer's gRPC service `Peer`; address 0 if unknown. */
    PeerAddress peer = {};
    std::string region = {};
};

/** Callbacks of the control server. All must be set; they are called on any thread and must not block for long. */
struct ControlHooks {
    /** Called when a configuration with a higher revision than all earlier ones is known. */
    std::function<void(const Configuration &)> applyConfiguration;
    /** Returns the state of the process as JSON text. */
    std::function<std::string()> dump;
    /** Returns the metrics in Prometheus text format. */
    std::function<std::string()> metrics;
    /** Returns the known targets as the text of a JSON array of objects. */
    std::function<std::string()> targets;
    /** Returns all live balancers, including this one, with the revisions that they have in force. */
    std::function<std::vector<BalancerRevision>()> liveBalancers;
};

} // namespace rhubarblane

#endif
