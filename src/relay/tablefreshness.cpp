#include "relay/tablefreshness.h"

#include "base/hash.h"

#include <algorithm>

namespace rhubarblane
{

namespace
{

// A change must be in force everywhere within 3 s of its acknowledgement. A check begins at most 1.6 s after the last
// one, MinimumCheckInterval + MaximumRank * RankDelay; the rest is for the store call, its timeout of 0.6 s, and for
// spreading the table to all balancers.
constexpr Milliseconds MinimumCheckInterval(800);
// Allows the preceding balancer to call the store and to announce its check.
constexpr Milliseconds RankDelay(200);
constexpr std::size_t MaximumRank = 4;
constexpr Milliseconds RetryInterval(800);

} // namespace

TableFreshness::TableFreshness(std::uint64_t randomSeed)
    : random_(randomSeed)
{
}

void TableFreshness::noteCheckOfPeer(const TableCheck &check)
{
    if (!last_ || (check.id != last_->id && check.begun > last_->begun)) {
        last_ = check;
        due_.reset();
    } else if (check.id == last_->id) {
        // Each message adds its time in transit to `begun`, so the earliest time is the most accurate one.
        last_->begun = std::min(last_->begun, check.begun);
    }
}

bool TableFreshness::takeDueCheck(Timestamp now, const PeerDirectory &peers)
{
    if (!due_) {
        due_ = (last_ ? last_->begun : now) + MinimumCheckInterval
            + RankDelay * static_cast<std::int64_t>(rank(now, peers));
    }
    if (running_ || now < *due_ || now < retry_) {
        return false;
    }
    running_ = true;
    return true;
}

void TableFreshness::finishCheck(Timestamp now, Timestamp begun, bool succeeded)
{
    running_ = false;
    if (succeeded) {
        last_ = TableCheck {random_(), begun};
        due_.reset();
    } else {
        retry_ = now + RetryInterval;
    }
}

std::size_t TableFreshness::rank(Timestamp now, const PeerDirectory &peers) const
{
    const std::uint64_t check = last_ ? last_->id : 0;
    const std::uint64_t own = hashPair(check, peers.self().id().value());
    const std::vector<const PeerDirectory::Entry *> recent = peers.recentContacts(now);
    const auto before = std::count_if(recent.begin(), recent.end(), [&](const PeerDirectory::Entry *entry) {
        return entry->peer.role == PeerRole::Balancer && hashPair(check, entry->peer.id().value()) < own;
    });
    return std::min(static_cast<std::size_t>(before), MaximumRank);
}

} // namespace rhubarblane
