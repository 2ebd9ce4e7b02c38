#include "relay/seedcontacts.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace rhubarblane
{

namespace
{

// A start without the store is delayed by this time if the first contact is lost. Seeds may be outdated, so those at
// which no balancer is known are contacted as long as the process runs.
constexpr Milliseconds ContactInterval(1000);

} // namespace

SeedContacts::SeedContacts(std::vector<PeerAddress> seeds)
    : seeds_(std::move(seeds))
{
}

std::vector<PeerAddress> SeedContacts::due(Timestamp now, const PeerDirectory &directory)
{
    std::vector<PeerAddress> result;
    if (now < next_) {
        return result;
    }
    next_ = now + ContactInterval;
    const std::vector<const PeerDirectory::Entry *> balancers = directory.withRole(PeerRole::Balancer);
    std::copy_if(seeds_.begin(), seeds_.end(), std::back_inserter(result), [&](const PeerAddress &seed) {
        const bool known = std::any_of(balancers.begin(), balancers.end(), [&seed](const PeerDirectory::Entry *entry) {
            return entry->peer.address == seed;
        });
        return !known && seed != directory.self().address;
    });
    return result;
}

} // namespace rhubarblane
