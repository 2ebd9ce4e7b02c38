#include "relay/agentcoverage.h"

#include <algorithm>
#include <vector>

namespace rhubarblane
{

namespace
{

// Other balancers name agents that the store has lost within one interval of their messages.
constexpr Milliseconds UsualDiscoveryPeriod(700);
// When all agents have just started, after a loss of power, no balancer knows more of them than the store.
constexpr Milliseconds CommonStartDiscoveryPeriod(100);
// After a loss of power all processes are back within a second of each other; the rest is for clocks that differ.
constexpr std::uint64_t CommonStartToleranceMs = 1500;
// A store that answers late was away, and leases may have lapsed meanwhile: entries are back 2 s after its return, and
// their agents are known half a second later.
constexpr Milliseconds PromptReadLimit(1000);
constexpr Milliseconds EntryRecoveryPeriod(2500);
// When the store cannot be read, other balancers and the agents themselves have named all agents after this time.
constexpr Milliseconds DiscoveryPeriodWithoutStore(10000);

} // namespace

AgentCoverage::AgentCoverage(Timestamp started, std::uint64_t incarnation)
    : started_(started)
    , incarnation_(incarnation)
{
}

void AgentCoverage::noteStoreRead(Timestamp now)
{
    firstStoreRead_ = firstStoreRead_.value_or(now);
}

bool AgentCoverage::isComplete(Timestamp now, const PeerDirectory &peers, const TargetDirectory &targets) const
{
    if (now - firstStoreRead_.value_or(started_) < discoveryPeriod(peers)) {
        return false;
    }
    const std::vector<const PeerDirectory::Entry *> agents = peers.withRole(PeerRole::Agent);
    return std::all_of(agents.begin(), agents.end(), [&targets](const PeerDirectory::Entry *entry) {
        return targets.find(entry->peer.address) != nullptr;
    });
}

Milliseconds AgentCoverage::discoveryPeriod(const PeerDirectory &peers) const
{
    if (!firstStoreRead_) {
        return DiscoveryPeriodWithoutStore;
    }
    if (*firstStoreRead_ - started_ >= PromptReadLimit) {
        return EntryRecoveryPeriod;
    }
    return startedWithAllOthers(peers) ? CommonStartDiscoveryPeriod : UsualDiscoveryPeriod;
}

bool AgentCoverage::startedWithAllOthers(const PeerDirectory &peers) const
{
    const auto isOlder = [this](const PeerDirectory::Entry *entry) {
        return entry->peer.incarnation + CommonStartToleranceMs < incarnation_;
    };
    const std::vector<const PeerDirectory::Entry *> agents = peers.withRole(PeerRole::Agent);
    const std::vector<const PeerDirectory::Entry *> balancers = peers.withRole(PeerRole::Balancer);
    // Entries of balancers that nobody has heard may be those of before the loss of power.
    const bool hasOlderBalancer =
        std::any_of(balancers.begin(), balancers.end(), [&isOlder](const PeerDirectory::Entry *entry) {
            return entry->lastContact && isOlder(entry);
        });
    return !agents.empty() && !hasOlderBalancer && std::none_of(agents.begin(), agents.end(), isOlder);
}

} // namespace rhubarblane
