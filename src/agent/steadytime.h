#ifndef RHUBARBLANE_AGENT_STEADYTIME_H
#define RHUBARBLANE_AGENT_STEADYTIME_H

#include "base/clock.h"

#include <cstdint>

namespace rhubarblane
{

/**
 * Converts the event times of a process into times that never go back, and detects interruptions. A backward jump does
 * not move the steady time; the time that really elapsed meanwhile is unknown.
 */
class SteadyTime
{
public:
    Timestamp advance(Timestamp now)
    {
        if (started_ && now < last_) {
            offset_ = offset_ + (last_ - now);
            ++jumps_;
        } else if (started_ && now - last_ > PauseThreshold) {
            ++pauses_;
        }
        started_ = true;
        last_ = now;
        return now + offset_;
    }

    /** Converts a time that the owner of the process computed into steady time. */
    Timestamp translate(Timestamp time) const
    {
        return time + offset_;
    }

    /** Returns the number of backward jumps so far. */
    std::uint64_t jumps() const
    {
        return jumps_;
    }

    /** Returns the number of gaps between events so far that were long enough to miss messages of peers. */
    std::uint64_t pauses() const
    {
        return pauses_;
    }

private:
    // Two heartbeat intervals; the daemon ticks every 10 to 100 ms.
    static constexpr Milliseconds PauseThreshold = Milliseconds(1000);

    Timestamp last_;
    Milliseconds offset_;
    std::uint64_t jumps_ = 0;
    std::uint64_t pauses_ = 0;
    bool started_ = false;
};

} // namespace rhubarblane

#endif
