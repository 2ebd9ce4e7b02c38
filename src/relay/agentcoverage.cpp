#include "relay/agentcoverage.h"

#include <algorithm>
#include <vector>

namespace rhubarblane
{

namespace
{

// Other balancers name agents that the store has lost within one interval of their messages.
constexpr Milliseconds UsualLearningPeriod(700);
// When all agents have just started, after a loss of power, no balancer knows more of them than the store.
constexpr Milliseconds RestartLearningPeriod(100);
// After a loss of power all processes are back within a second of each other; the rest is for clocks that differ.
constexpr std::uint64_t CommonStartMs = 1500;
// A store that answers late was away, and leases may have lapsed meanwhile: entries are back 2 s after its return, and
// their agents are known half a second later.
constexpr Milliseconds PromptRead(1000);
constexpr Milliseconds EntriesReturnPeriod(2500);
// When the store cannot be read, other balancers and the agents themselves have named all agents after this time.
constexpr Milliseconds LearningPeriodWithoutStore(10000);

} // namespace

AgentCoverage::AgentCoverage(Timestamp started, std::uint64_t incarnation)
    : started_(started)
    , incarnation_(incarnation)
{
}

void AgentCoverage::noteEntriesRead(Timestamp now)
{
    entriesRead_ = entriesRead_.value_or(now);
}

bool AgentCoverage::isComplete(Timestamp now, const PeerBook &peers, const TargetDirectory &targets) const
{
    if (now - entriesRead_.value_or(started_) < learningPeriod(peers)) {
        return false;
    }
    const std::vector<const PeerBook::Entry *> agents = peers.withRole(PeerRole::Agent);
    return std::all_of(agents.begin(), agents.end(), [&targets](const PeerBook::Entry *entry) {
        return targets.find(entry->peer.address) != nullptr;
    });
}

Milliseconds AgentCoverage::learningPeriod(const PeerBook &peers) const
{
    if (!entriesRead_) {
        return LearningPeriodWithoutStore;
    }
    if (*entriesRead_ - started_ >= PromptRead) {
        return EntriesReturnPeriod;
    }
    return startedWithAllOthers(peers) ? RestartLearningPeriod : UsualLearningPeriod;
}

bool AgentCoverage::startedWithAllOthers(const PeerBook &peers) const
{
    const auto isOlder = [this](const PeerBook::Entry *entry) {
        return entry->peer.incarnation + CommonStartMs < incarnation_;
    };
    const std::vector<const PeerBook::Entry *> agents = peers.withRole(PeerRole::Agent);
    const std::vector<const PeerBook::Entry *> balancers = peers.withRole(PeerRole::Balancer);
    // Entries of balancers that nobody has heard may be those of before the loss of power.
    const bool hasOlderBalancer =
        std::any_of(balancers.begin(), balancers.end(), [&isOlder](const PeerBook::Entry *entry) {
            return entry->heard && isOlder(entry);
        });
    return !agents.empty() && !hasOlderBalancer && std::none_of(agents.begin(), agents.end(), isOlder);
}

} // namespace rhubarblane
