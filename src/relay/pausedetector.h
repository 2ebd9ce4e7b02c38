#ifndef RHUBARBLANE_RELAY_PAUSEDETECTOR_H
#define RHUBARBLANE_RELAY_PAUSEDETECTOR_H

#include "base/clock.h"

#include <algorithm>

namespace rhubarblane
{

/**
 * Notices that the process did not run for a while. Messages of that time are still unread afterwards, so silence that
 * the process seems to have heard proves nothing.
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

    /** How long the process has listened without hearing anything, if it last heard something at `heard`. */
    Milliseconds observedSilence(Timestamp now, Timestamp lastContact) const
    {
        return now - std::max(lastContact, resumedAt_);
    }

private:
    // Ticks come every 20 ms; a process that waits for its share of a processor is later by less than this.
    static constexpr Milliseconds PauseThreshold = Milliseconds(500);

    Timestamp lastEvent_;
    Timestamp resumedAt_;
};

} // namespace rhubarblane

#endif
