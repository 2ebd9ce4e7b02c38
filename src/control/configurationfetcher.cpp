#include "control/configurationfetcher.h"

#include <utility>

namespace rhubarblane
{

namespace
{

/**
 * Time between two checks of the peers' revisions. It adds to the time until a change is in force on all balancers,
 * which must stay below 2 s.
 */
constexpr Milliseconds PollInterval(200);
constexpr Milliseconds InitialBackoff(100);
constexpr Milliseconds MaximumBackoff(2000);

} // namespace

ConfigurationFetcher::ConfigurationFetcher(
    std::string name, ConfigurationCore &core, Peers peers, Fetch fetch, std::mt19937_64 random)
    : name_(std::move(name))
    , core_(core)
    , peers_(std::move(peers))
    , fetch_(std::move(fetch))
    , random_(random)
    , backoff_(InitialBackoff, MaximumBackoff, random)
{
}

Milliseconds ConfigurationFetcher::step()
{
    const Revision known = core_.current()->snapshot.revision;
    std::vector<BalancerRevision> newest;
    for (BalancerRevision &peer : peers_()) {
        if (peer.name == name_ || peer.peer.address == 0 || peer.revision <= known) {
            continue;
        }
        if (!newest.empty() && newest.front().revision < peer.revision) {
            newest.clear();
        }
        if (newest.empty() || newest.front().revision == peer.revision) {
            newest.push_back(std::move(peer));
        }
    }
    if (newest.empty()) {
        backoff_.reset();
        return PollInterval;
    }
    std::uniform_int_distribution<std::size_t> pick(0, newest.size() - 1);
    const BalancerRevision &peer = newest[pick(random_)];
    std::optional<Error> error = fetchFrom(peer, known);
    if (error && error->code == ErrorCode::Conflict) {
        // The delta cannot be applied to the known snapshot. A whole snapshot does not depend on it.
        error = fetchFrom(peer, Revision());
    }
    if (error) {
        return backoff_.next();
    }
    backoff_.reset();
    return PollInterval;
}

std::optional<Error> ConfigurationFetcher::fetchFrom(const BalancerRevision &peer, Revision known)
{
    const Outcome<wire::ConfigurationReply> reply = fetch_(peer.peer, known);
    if (!isOk(reply)) {
        return errorOf(reply);
    }
    // Gossip is authenticated and the fetch is not, so the digest must be the one that the peer announced.
    if (valueOf(reply).revision() == peer.revision.value() && peer.digest != 0
        && valueOf(reply).digest() != peer.digest) {
        return Error {ErrorCode::Conflict, {}, "the digest is not the one that the peer announced"};
    }
    return core_.applyReply(known, valueOf(reply));
}

} // namespace rhubarblane
