#ifndef RHUBARBLANE_RELAY_REQUESTMETER_H
#define RHUBARBLANE_RELAY_REQUESTMETER_H

#include "base/clock.h"

#include <cstdint>

namespace rhubarblane
{

/** Measures the requests at one target: how many, how long they take in a slot, and the share of the slots in use. */
class RequestMeter
{
public:
    /** At least 1. A change applies to requests that start later. */
    void setSlots(std::uint32_t slots);

    /** Returns true if the request found a free slot, so that its duration is its service time. */
    bool start(Timestamp now);

    /** `inSlot` is what start() returned. */
    void finish(Timestamp now, Timestamp started, bool inSlot);

    /** A request ended without an answer; its duration says nothing. */
    void abandon(Timestamp now);

    /** Forgets everything, for a new start of the target. */
    void clear(Timestamp now);

    std::uint32_t slots() const
    {
        return slots_;
    }

    std::uint32_t busy() const
    {
        return busy_;
    }

    /** Mean time of a request in a slot; 0 before the first one ended. */
    double serviceTimeMs() const
    {
        return serviceTimeMs_;
    }

    /** From 0 to 1, with a half-life of a second. */
    double utilization(Timestamp now) const;

    /** Expected wait for a slot of one more request after `ahead` requests that are about to come. */
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
