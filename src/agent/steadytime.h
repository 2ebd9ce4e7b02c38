#ifndef RHUBARBLANE_AGENT_STEADYTIME_H
#define RHUBARBLANE_AGENT_STEADYTIME_H

#include "base/clock.h"

#include <cstdint>

namespace rhubarblane
{

/**
 * Turns the event times of a process into times that never go back, and notices interruptions.
 * After a jump backwards the steady time stands still for the jump; how long it really took is unknown.
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

    /** The steady time of a time that the owner of the process computed. */
    Timestamp translate(Timestamp time) const
    {
        return time + offset_;
    }

    /** Jumps backwards so far. */
    std::uint64_t jumps() const
    {
        return jumps_;
    }

    /** Gaps between events so far in which messages of peers may have been missed. */
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
