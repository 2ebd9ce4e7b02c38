#ifndef RHUBARBLANE_RELAY_OUTLIERDETECTOR_H
#define RHUBARBLANE_RELAY_OUTLIERDETECTOR_H

#include "base/clock.h"

#include <cstdint>

namespace rhubarblane
{

/**
 * Passive outlier detection for one target: ejects it after consecutive failed requests, so that it gets no new flows
 * for some time. After an ejection the target is on trial: it gets one new flow at a time until a request is answered.
 */
class OutlierDetector
{
public:
    /** Records an answered request. */
    void noteAnswer(Timestamp now);

    /** Records a request that the target reset instead of answering it. */
    void noteFailure(Timestamp now);

    /** Clears the failure history after a restart of the target. The number of ejections is kept. */
    void clear();

    bool isEjected(Timestamp now) const
    {
        return now < ejectedUntil_;
    }

    /** Returns true if the last ejection is over and no request has been answered since. */
    bool isOnTrial(Timestamp now) const
    {
        return onTrial_ && !isEjected(now);
    }

    /** Returns the remaining time of the current ejection, or 0. */
    Milliseconds timeLeft(Timestamp now) const
    {
        return isEjected(now) ? ejectedUntil_ - now : Milliseconds(0);
    }

    /** Returns the number of failed requests since the last answered one. */
    std::uint32_t consecutiveFailures() const
    {
        return consecutiveFailures_;
    }

    /** Returns the number of ejections, counted over all starts of the target. */
    std::uint64_t ejections() const
    {
        return ejections_;
    }

private:
    void eject(Timestamp now);

    std::uint32_t consecutiveFailures_ = 0;
    bool onTrial_ = false;
    Timestamp ejectedUntil_;
    Milliseconds nextEjection_;
    std::uint64_t ejections_ = 0;
};

} // namespace rhubarblane

#endif
