#include "relay/handon.h"

#include <algorithm>

namespace rhubarblane
{

namespace
{

constexpr std::uint32_t MaximumPort = 65535;

PeerAddress addressOf(const wire::relay::Address &address)
{
    return {address.address(), static_cast<std::uint16_t>(address.port())};
}

bool isValid(const wire::relay::Address &address)
{
    return address.port() != 0 && address.port() <= MaximumPort;
}

void set(wire::relay::Address &target, const PeerAddress &address)
{
    target.set_address(address.address);
    target.set_port(address.port);
}

} // namespace

void HandOn::setCandidates(wire::relay::Forward &forward, const std::vector<PeerAddress> &candidates)
{
    for (const PeerAddress &candidate : candidates) {
        set(*forward.add_candidates(), candidate);
    }
}

std::optional<PeerAddress> HandOn::takeNext(wire::relay::Forward &forward, const PeerAddress &sender)
{
    if (forward.candidates().empty() || static_cast<std::size_t>(forward.candidates_size()) > MaximumCandidates
        || !isValid(forward.candidates(0))) {
        return std::nullopt;
    }
    const PeerAddress next = addressOf(forward.candidates(0));
    forward.mutable_candidates()->erase(forward.candidates().begin());
    if (!forward.has_balancer()) {
        set(*forward.mutable_balancer(), sender);
    }
    return next;
}

Milliseconds HandOn::acceptedWait(const wire::relay::Forward &forward)
{
    const std::size_t further = std::min(static_cast<std::size_t>(forward.candidates_size()), MaximumCandidates);
    return Milliseconds(static_cast<std::int64_t>(forward.accepted_wait_ms()) >> further);
}

PeerAddress HandOn::balancerOf(const wire::relay::Forward &forward, const PeerAddress &sender)
{
    return forward.has_balancer() && isValid(forward.balancer()) ? addressOf(forward.balancer()) : sender;
}

} // namespace rhubarblane
