#ifndef RHUBARBLANE_RELAY_PAUSEDETECTOR_H
#define RHUBARBLANE_RELAY_PAUSEDETECTOR_H

#include "base/clock.h"

#include <algorithm>

namespace rhubarblane
{

/**
 * Detects that the process was not scheduled for a while. Messages that arrived meanwhile are still unread afterwards,
 * so the time of the pause must not count towards a timeout of a peer.
 */
class PauseDetector
{
public:
    explicit PauseDetector(Timestamp now)
        : lastEvent_(now)
        , resumedAt_(now)
    {
    }

    /** Must be called with each event. */
    void advance(Timestamp now)
    {
        if (now - lastEvent_ > PauseThreshold) {
            resumedAt_ = now;
        }
        lastEvent_ = now;
    }

    /** Returns the time since `lastContact` or since the end of the last pause, whichever is later. */
    Milliseconds observedSilence(Timestamp now, Timestamp lastContact) const
    {
        return now - std::max(lastContact, resumedAt_);
    }

private:
    // Ticks come every 20 ms; a process that waits for its CPU share is delayed by less than this.
    static constexpr Milliseconds PauseThreshold = Milliseconds(500);

    Timestamp lastEvent_;
    Timestamp resumedAt_;
};

} // namespace rhubarblane

#endif
