#include "control/backoff.h"

#include <algorithm>

namespace rhubarblane
{

Backoff::Backoff(Milliseconds first, Milliseconds maximum, std::mt19937_64 random)
    : first_(first)
    , maximum_(maximum)
    , current_(first)
    , random_(random)
{
}

Milliseconds Backoff::next()
{
    const Milliseconds wait = jitter(current_);
    current_ = std::min(current_ * 2, maximum_);
    return wait;
}

void Backoff::reset()
{
    current_ = first_;
}

Milliseconds Backoff::jitter(Milliseconds span)
{
    std::uniform_int_distribution<std::int64_t> distribution(span.count() / 2, span.count());
    return Milliseconds(distribution(random_));
}

} // namespace rhubarblane
