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

/** What the control server of a balancer is told at start. */
struct ControlSettings {
    /** Name of this balancer, unique in the deployment. */
    std::string name;
    /** Readers of the store are elected per region; empty is one region. */
    std::string region;
    /** HTTP listen address as "IP:PORT"; port 0 selects a free port. */
    std::string listenAddress;
    /** Listen address of the gRPC service `Peer` as "IP:PORT"; port 0 selects a free port, empty turns it off. */
    std::string peerListenAddress;
    /** "http://IP:PORT" of the store; empty if this balancer has none and learns the configuration from peers. */
    std::string storeUrl;
    /** Content of the API key file; white space at the ends is ignored. Empty refuses all writes. */
    std::string apiKey;
    /** Seed of the backoff jitter; should differ between processes. */
    std::uint64_t seed = 0;
};

/** A balancer and the configuration that it has in force, as learned by gossip. */
struct BalancerRevision {
    std::string name;
    Revision revision;
    std::uint64_t digest = 0;
    /** Address of the balancer's gRPC service `Peer`; address 0 if unknown. */
    PeerAddress peer = {};
    std::string region = {};
};

/** How the control server reaches the rest of its process. All must be set; none may block long. Called on any thread.
 */
struct ControlHooks {
    /** A configuration with a higher revision than any before it is known. */
    std::function<void(const Configuration &)> applyConfiguration;
    /** State of the process as JSON text. */
    std::function<std::string()> dump;
    /** Prometheus text. */
    std::function<std::string()> metrics;
    /** Known targets as the text of a JSON array of objects. */
    std::function<std::string()> targets;
    /** All live balancers, this one included. */
    std::function<std::vector<BalancerRevision>()> liveBalancers;
};

} // namespace rhubarblane

#endif
