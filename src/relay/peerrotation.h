#ifndef RHUBARBLANE_RELAY_PEERROTATION_H
#define RHUBARBLANE_RELAY_PEERROTATION_H

#include "relay/peerdirectory.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace rhubarblane
{

/**
 * Selects the receivers of periodic messages in turn, so that each message goes to a part of a large fleet. The order
 * is fixed, which bounds the time between two messages to a peer, and differs between processes, so that news spreads
 * quickly.
 */
class PeerRotation
{
public:
    /** The order of the peers depends on `seed`, which should differ between processes. */
    explicit PeerRotation(std::uint64_t seed);

    /** Returns the next `count` peers of a role, or all if there are not more. */
    std::vector<const PeerDirectory::Entry *> next(const PeerDirectory &directory, PeerRole role, std::size_t count);

private:
    std::uint64_t seed_;
    /** Position of the last returned peer in the order; see positionOf(). */
    std::uint64_t last_ = 0;
};

} // namespace rhubarblane

#endif
