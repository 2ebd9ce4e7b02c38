#ifndef RHUBARBLANE_RELAY_TARGETSTATUS_H
#define RHUBARBLANE_RELAY_TARGETSTATUS_H

#include "base/clock.h"
#include "relay/pausedetector.h"
#include "relay/relaytypes.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace rhubarblane
{

/** A status report of the target on the agent's own VM. */
struct TargetReport {
    std::string target;
    std::string group;
    /** Start time of the target in Unix milliseconds. */
    std::int64_t started = 0;
    /** Increases with each report of one start. */
    std::uint64_t sequence = 0;
    std::uint32_t slots = 1;
    bool draining = false;
    /** Time for which the target still has a lower capacity; no value if the report does not tell. */
    std::optional<Milliseconds> coldFor = std::nullopt;

    bool isOfSameStart(const TargetReport &other) const
    {
        return target == other.target && started == other.started;
    }
};

/** Determines the state of a target from its status reports and packets. */
class TargetStatus
{
public:
    enum class Change {
        None, ///< The state is the same.
        Changed, ///< The state differs from the last report.
        NewStart, ///< First report of the target, or of a new start of it.
        Outdated, ///< The report is older than the last one of the same start and was ignored.
        Unconfirmed, ///< The report may be a late one of an earlier start and was ignored; the next one decides.
    };

    TargetStatus(Milliseconds reportInterval, Timestamp now);

    /** Must be called at each event. */
    void advance(Timestamp now)
    {
        pauses_.advance(now);
    }

    /**
     * Applies a report. A start with a later start time replaces the current one. Any other start may be an earlier one
     * whose report is late, or a later one after the clock was set back. It replaces the current one if its reports
     * continue while those of the current one do not.
     */
    Change report(Timestamp now, const TargetReport &report);

    /**
     * Records that a target announced its end. Returns false if this is not the target of the last report. The
     * announcement does not tell its start and may be a late one of an earlier start, so it counts only if no further
     * report or packet shows that the target still runs.
     */
    bool noteLeave(Timestamp now, const std::string &target);

    /** Returns true if the target has announced its end, and a running target might still be heard of. */
    bool isLeaveUnconfirmed(Timestamp now) const;

    /** Records a packet that proves that the target runs. */
    void noteResponse(Timestamp now);

    /** Returns true if a running target would have sent a report since the agent started, but none has arrived. */
    bool isFirstReportOverdue(Timestamp now) const;

    /** Records that an opening packet was sent to the target. */
    void noteOpeningPacketSent(Timestamp now);

    TargetState state(Timestamp now) const;

    const std::string &target() const
    {
        return report_.target;
    }

    /** Returns the age of the last report, or no value before the first one. */
    std::optional<Milliseconds> reportAge(Timestamp now) const;

    /** Returns the last report that was applied; empty before the first one. */
    const TargetReport &lastReport() const
    {
        return report_;
    }

    /** Returns the number of starts of the target that the agent has observed. */
    std::uint64_t startCount() const
    {
        return startCount_;
    }

private:
    bool isOverdue(Timestamp now) const;
    /** Returns true if the target has announced its end and was not heard of for as long as a report may be late. */
    bool hasLeft(Timestamp now) const;
    bool wasReplaced(const TargetReport &report) const;
    /** Returns true if a report that does not continue the current start proves a new start. */
    bool provesNewStart(Timestamp now, const TargetReport &report) const;

    Milliseconds reportInterval_;
    Timestamp started_;
    TargetReport report_;
    std::optional<Timestamp> lastReport_;
    /** The last unconfirmed report, if none was applied since. */
    std::optional<TargetReport> unconfirmed_;
    /** The last starts that were replaced by another one, oldest first. */
    std::deque<TargetReport> replaced_;
    /** Time of the last report or packet of the target. */
    Timestamp lastContact_;
    std::optional<Timestamp> unansweredSince_;
    PauseDetector pauses_;
    std::uint64_t startCount_ = 0;
    /** Time at which the target announced its end, if it has not reported since. */
    std::optional<Timestamp> leaveAnnounced_;
};

} // namespace rhubarblane

#endif
