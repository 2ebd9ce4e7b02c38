#include "relay/peerrotation.h"

#include "base/hash.h"

#include <algorithm>
#include <utility>

namespace rhubarblane
{

PeerRotation::PeerRotation(std::uint64_t seed)
    : seed_(seed)
{
}

std::vector<const PeerDirectory::Entry *>
PeerRotation::next(const PeerDirectory &directory, PeerRole role, std::size_t count)
{
    std::vector<const PeerDirectory::Entry *> all = directory.withRole(role);
    if (all.size() <= count) {
        return all;
    }
    // The position of a peer depends on its id only, so peers that join or leave do not move the others.
    std::vector<std::pair<std::uint64_t, const PeerDirectory::Entry *>> order;
    order.reserve(all.size());
    for (const PeerDirectory::Entry *entry : all) {
        order.emplace_back(hashPair(seed_, entry->peer.id().value()), entry);
    }
    std::sort(order.begin(), order.end());
    auto position = std::upper_bound(
        order.begin(), order.end(), last_, [](std::uint64_t last, const auto &entry) { return last < entry.first; });
    std::vector<const PeerDirectory::Entry *> result;
    while (result.size() < count) {
        if (position == order.end()) {
            position = order.begin();
        }
        last_ = position->first;
        result.push_back(position->second);
        ++position;
    }
    return result;
}

} // namespace rhubarblane
