#ifndef RHUBARBLANE_RELAY_REQUESTMETER_H
#define RHUBARBLANE_RELAY_REQUESTMETER_H

#include "base/clock.h"

#include <cstdint>

namespace rhubarblane
{

/** Measures the requests at one target: their number, their service time and the utilization of the slots. */
class RequestMeter
{
public:
    /** Sets the number of slots; 0 counts as 1. A change applies to requests that start later. */
    void setSlots(std::uint32_t slots);

    /** Starts a request. Returns true if a slot was free, so that the request's duration is its service time. */
    bool start(Timestamp now);

    /** Ends an answered request; `inSlot` is the result of start(). */
    void finish(Timestamp now, Timestamp started, bool inSlot);

    /** Ends a request without an answer; its duration is not measured. */
    void abandon(Timestamp now);

    /** Clears all measurements after a restart of the target. */
    void clear(Timestamp now);

    std::uint32_t slots() const
    {
        return slots_;
    }

    std::uint32_t busy() const
    {
        return busy_;
    }

    /** Returns the exponentially weighted mean service time; 0 before the first request has ended. */
    double serviceTimeMs() const
    {
        return serviceTimeMs_;
    }

    /** Returns the share of slots in use, from 0 to 1, averaged with a half-life of 1 s. */
    double utilization(Timestamp now) const;

    /** Returns the expected wait for a slot of a new request, given `ahead` other requests that are about to arrive. */
    Milliseconds expectedWait(std::uint32_t ahead) const;

private:
    void integrate(Timestamp now);
    double decayed(Timestamp now) const;

    std::uint32_t slots_ = 1;
    std::uint32_t busy_ = 0;
    double serviceTimeMs_ = 0.0;
    double utilization_ = 0.0;
    Timestamp integrated_;
};

} // namespace rhubarblane

#endif
