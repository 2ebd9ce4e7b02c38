#ifndef RHUBARBLANE_RELAY_COLDSTARTLIMITER_H
#define RHUBARBLANE_RELAY_COLDSTARTLIMITER_H

#include "base/clock.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace rhubarblane
{

/** How far the new flows of a cold target may exceed its declared rate. */
struct ColdRateBounds {
    double rateFactor = 1.0;
    double burst = 0.0; ///< In flows.

    /**
     * Returns the maximum number of new flows in any second for a declared rate in flows per second; 0 if there is no
     * limit, which is the case for a rate of 0.
     */
    std::uint32_t limitFor(double rate) const;
};

/**
 * Limits the new flows of one target while it is cold, that is, while it has a lower capacity after its start. It runs
 * in the agent, which all opening packets of the target pass, so that the sum over all balancers is exact.
 */
class ColdStartLimiter
{
public:
    /** Applies a status report: the target stays cold for `coldFor`, 0 if it is warm. */
    void noteReport(Timestamp now, Milliseconds coldFor);

    /**
     * The target may have become cold without a report of it yet. It counts as cold for `period`, or until a report
     * that was sent later shows its state.
     */
    void assumeCold(Timestamp now, Milliseconds period);

    /** The target may have taken any number of flows before `now` that the agent did not see. */
    void assumeFull(Timestamp now);

    bool isCold(Timestamp now) const
    {
        return now < coldUntil_;
    }

    /** Returns the time for which the target stays cold, or 0. */
    Milliseconds coldLeft(Timestamp now) const
    {
        return isCold(now) ? coldUntil_ - now : Milliseconds(0);
    }

    /** Returns true if the target may take another flow. `limit` is the maximum in any second; 0 if there is none. */
    bool mayOpen(Timestamp now, std::uint32_t limit);

    /** Records an opening packet that is sent to the target, cold or not. */
    void noteOpening(Timestamp now);

    /** Returns the number of flows that a cold target may take now; no value if no limit applies or is known. */
    std::optional<std::uint32_t> openingsLeft(Timestamp now) const;

    /** Returns the number of recorded openings that count towards the limit. */
    std::uint32_t openings(Timestamp now) const;

    /** Returns the limit of the last offer; 0 if there is none. */
    std::uint32_t limit() const
    {
        return limit_;
    }

private:
    Timestamp coldUntil_;
    std::optional<Timestamp> assumedSince_;
    Timestamp fullUntil_;
    std::uint32_t limit_ = 0;
    /** Times of the last openings, oldest first. */
    std::deque<Timestamp> openings_;
};

} // namespace rhubarblane

#endif
