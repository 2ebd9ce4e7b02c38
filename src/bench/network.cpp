#include "bench/fleet.h"

#include <utility>

namespace rhubarblane
{

void BenchNetwork::transfer(int fromZone, int toZone, EventQueue::Action action)
{
    if (isLost()) {
        return;
    }
    const std::int64_t distance = fromZone == toZone ? 0 : options.deployment->zoneDelayUs;
    const double jitter = exponential(options.scenario->jitterUs);
    queue.after(distance + static_cast<std::int64_t>(jitter), std::move(action));
}

bool BenchNetwork::isLost()
{
    return std::bernoulli_distribution(options.scenario->loss)(random);
}

double BenchNetwork::exponential(double mean)
{
    return std::exponential_distribution<double>(1.0 / mean)(random);
}

std::size_t BenchNetwork::below(std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
}

std::uint32_t serviceAddressOf(std::size_t service)
{
    return 0xc0a80001U + static_cast<std::uint32_t>(service);
}

} // namespace rhubarblane
