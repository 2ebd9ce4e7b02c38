#include "relay/agentcoverage.h"

#include <algorithm>
#include <vector>

namespace rhubarblane
{

namespace
{

// Other balancers list agents that are missing in the store within one interval of their hello messages.
constexpr Milliseconds UsualDiscoveryPeriod(700);
// When all agents have just started, as after a power failure, no balancer knows more of them than the store.
constexpr Milliseconds CommonStartDiscoveryPeriod(100);
// After a power failure all processes start within 1 s of each other; the rest allows for clock differences.
constexpr std::uint64_t CommonStartToleranceMs = 1500;
// Without the store, all agents are known after this time from other balancers and from their own reports.
constexpr Milliseconds DiscoveryPeriodWithoutStore(10000);

} // namespace

AgentCoverage::AgentCoverage(Timestamp started, std::uint64_t incarnation)
    : started_(started)
    , incarnation_(incarnation)
{
}

void AgentCoverage::noteStoreRead(Timestamp now, LeaseHistory leases)
{
    if (!firstStoreRead_) {
        firstStoreRead_ = now;
        leases_ = leases;
    }
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
    if (leases_ == LeaseHistory::Unknown) {
        // The list may have no more than the processes that have just started, whatever their number.
        return EntryRecoveryPeriod;
    }
    return startedWithAllOthers(peers) ? CommonStartDiscoveryPeriod : UsualDiscoveryPeriod;
}

std::optional<Milliseconds> AgentCoverage::firstReadDelay() const
{
    return firstStoreRead_ ? std::optional<Milliseconds>(*firstStoreRead_ - started_) : std::nullopt;
}

bool AgentCoverage::startedWithAllOthers(const PeerDirectory &peers) const
{
    const auto isOlder = [this](const PeerDirectory::Entry *entry) {
        return entry->peer.incarnation + CommonStartToleranceMs < incarnation_;
    };
    const std::vector<const PeerDirectory::Entry *> agents = peers.withRole(PeerRole::Agent);
    const std::vector<const PeerDirectory::Entry *> balancers = peers.withRole(PeerRole::Balancer);
    // Entries of balancers without any message may date from before the power failure.
    const bool hasOlderBalancer =
        std::any_of(balancers.begin(), balancers.end(), [&isOlder](const PeerDirectory::Entry *entry) {
            return entry->lastContact && isOlder(entry);
        });
    return !agents.empty() && !hasOlderBalancer && std::none_of(agents.begin(), agents.end(), isOlder);
}

} // namespace rhubarblane
