#include "relay/flowsearches.h"

#include <iterator>
#include <utility>

namespace rhubarblane
{

namespace
{

// Callers have at most 16 packets in flight.
constexpr std::size_t MaximumBufferedPackets = 16;
// With one packet of 1.2 KB each, the searches take 5 MB of the 74 MB of memory of the smallest VM.
constexpr std::size_t MaximumSearches = 4096;
// Callers retransmit a packet after at most 1.6 s, which starts a new search.
constexpr Milliseconds Retention(2000);

} // namespace

FlowSearch *FlowSearches::find(const FlowTuple &tuple)
{
    const auto found = searches_.find(tuple);
    return found == searches_.end() ? nullptr : &found->second;
}

FlowSearch &FlowSearches::start(Timestamp now, const RelayPacket &head, std::string_view packet)
{
    FlowSearch &search = searches_[head.flow];
    search = FlowSearch {now, head, false, false, now, Timestamp(), {}, {}, {}};
    addPacket(search, head, packet);
    return search;
}

void FlowSearches::addPacket(FlowSearch &search, const RelayPacket &head, std::string_view packet)
{
    search.head = head;
    if (search.packets.size() < MaximumBufferedPackets) {
        search.packets.emplace_back(packet);
    }
}

void FlowSearches::erase(const FlowTuple &tuple)
{
    searches_.erase(tuple);
}

void FlowSearches::markUndecided(FlowSearch &search)
{
    search.undecided = true;
    search.packets.erase(search.packets.begin(), std::prev(search.packets.end()));
}

bool FlowSearches::isFull() const
{
    return searches_.size() >= MaximumSearches;
}

void FlowSearches::expire(Timestamp now)
{
    for (auto search = searches_.begin(); search != searches_.end();) {
        search = now - search->second.started > Retention ? searches_.erase(search) : std::next(search);
    }
}

} // namespace rhubarblane
