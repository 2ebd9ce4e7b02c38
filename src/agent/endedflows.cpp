#include "agent/endedflows.h"

#include "agent/groupview.h"
#include "base/hash.h"

namespace rhubarblane
{

namespace
{

// A flow can be placed until the lease of its home expires, and duplicates of its packets may arrive for the packet
// lifetime after that.
constexpr Milliseconds Retention = MajorityLease + PacketLifetime;

} // namespace

std::size_t EndedFlows::KeyHash::operator()(const Key &key) const noexcept
{
    return hashPair(flowHashOf(key.flow).value(), key.fingerprint);
}

EndedFlow *EndedFlows::find(const FlowTuple &flow, std::uint64_t fingerprint)
{
    const auto position = flows_.find(Key {flow, fingerprint});
    return position == flows_.end() ? nullptr : &position->second;
}

void EndedFlows::add(Timestamp now, const EndedFlow &ended)
{
    const Key key {ended.flow, ended.fingerprint};
    if (flows_.emplace(key, ended).second) {
        order_.emplace_back(now, key);
    }
}

void EndedFlows::expire(Timestamp now)
{
    while (!order_.empty() && now - order_.front().first >= Retention) {
        flows_.erase(order_.front().second);
        order_.pop_front();
    }
}

} // namespace rhubarblane
