#ifndef RHUBARBLANE_CONTROL_BACKOFF_H
#define RHUBARBLANE_CONTROL_BACKOFF_H

#include "base/clock.h"

#include <random>

namespace rhubarblane
{

/** Exponential backoff between retries. The jitter keeps processes from retrying at the same time. */
class Backoff
{
public:
    Backoff(Milliseconds first, Milliseconds maximum, std::mt19937_64 random);

    /** Returns the delay after a failure, with jitter, and doubles the next one up to the maximum. */
    Milliseconds next();

    void reset();

    /** Returns a random time between half of the given time and all of it. */
    Milliseconds jitter(Milliseconds span);

private:
    Milliseconds first_;
    Milliseconds maximum_;
    Milliseconds current_;
    std::mt19937_64 random_;
};

} // namespace rhubarblane

#endif
