#ifndef RHUBARBLANE_RELAY_OUTLIERDETECTOR_H
#define RHUBARBLANE_RELAY_OUTLIERDETECTOR_H

#include "base/clock.h"

#include <cstdint>

namespace rhubarblane
{

/**
 * Decides by the ends of its requests when a target gets no new flows for some time. After that time the target is on
 * trial: it gets one new flow after the other until a request is answered.
 */
class OutlierDetector
{
public:
    /** A request had an answer. */
    void noteAnswer(Timestamp now);

    /** The target cut off a request instead of answering it. */
    void noteFailure(Timestamp now);

    /** Forgets everything, for a new start of the target. */
    void clear();

    bool isEjected(Timestamp now) const
    {
        return now < ejectedUntil_;
    }

    /** The last ejection is over, and no request has been answered since. */
    bool isOnTrial(Timestamp now) const
    {
        return onTrial_ && !isEjected(now);
    }

    /** Of the ejection in force. */
    Milliseconds timeLeft(Timestamp now) const
    {
        return isEjected(now) ? ejectedUntil_ - now : Milliseconds(0);
    }

    /** Requests that failed one after the other up to now. */
    std::uint32_t consecutiveFailures() const
    {
        return consecutiveFailures_;
    }

    /** Of all starts of the target. */
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
