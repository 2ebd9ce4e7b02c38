#ifndef RHUBARBLANE_CONTROL_BACKOFF_H
#define RHUBARBLANE_CONTROL_BACKOFF_H

#include "base/clock.h"

#include <random>

namespace rhubarblane
{

/** Waiting times between retries: doubled with each failure, with jitter so that processes do not retry together. */
class Backoff
{
public:
    Backoff(Milliseconds first, Milliseconds maximum, std::mt19937_64 random);

    /** The wait after one more failure: between half and all of the doubled time. */
    Milliseconds next();

    void reset();

    /** A time between half and all of the given one. */
    Milliseconds jitter(Milliseconds span);

private:
    Milliseconds first_;
    Milliseconds maximum_;
    Milliseconds current_;
    std::mt19937_64 random_;
};

} // namespace rhubarblane

#endif
