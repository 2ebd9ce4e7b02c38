#ifndef RHUBARBLANE_CONTROL_CONFIGURATIONFETCHER_H
#define RHUBARBLANE_CONTROL_CONFIGURATIONFETCHER_H

#include "control/backoff.h"
#include "control/configurationcore.h"
#include "control/controlsettings.h"

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace rhubarblane
{

/** Fetches the configuration from a peer when gossip announces a higher revision than the known one. */
class ConfigurationFetcher
{
public:
    using Peers = std::function<std::vector<BalancerRevision>()>;
    using Fetch = std::function<Outcome<wire::ConfigurationReply>(const PeerAddress &, Revision)>;

    /** The core must outlive the fetcher. */
    ConfigurationFetcher(std::string name, ConfigurationCore &core, Peers peers, Fetch fetch, std::mt19937_64 random);

    /** Checks the peers' revisions once and fetches if needed; blocks. Returns the delay until the next step. */
    Milliseconds step();

private:
    std::optional<Error> fetchFrom(const BalancerRevision &peer, Revision known);

    std::string name_;
    ConfigurationCore &core_;
    Peers peers_;
    Fetch fetch_;
    std::mt19937_64 random_;
    Backoff backoff_;
};

} // namespace rhubarblane

#endif
