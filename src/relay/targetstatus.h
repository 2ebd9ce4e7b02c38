#ifndef RHUBARBLANE_RELAY_TARGETSTATUS_H
#define RHUBARBLANE_RELAY_TARGETSTATUS_H

#include "base/clock.h"
#include "relay/pausedetector.h"
#include "relay/relaytypes.h"

#include <cstdint>
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
};

/** Determines the state of a target from its status reports and packets. */
class TargetStatus
{
public:
    enum class Change {
        None, ///< The state is the same.
        Changed, ///< The state differs from the last report.
        NewStart, ///< First report of the target, or of a new start of it.
        Outdated, ///< The report is older than the last one and was ignored.
    };

    TargetStatus(Milliseconds reportInterval, Timestamp now);

    /** Must be called at each event. */
    void advance(Timestamp now)
    {
        pauses_.advance(now);
    }

    Change report(Timestamp now, const TargetReport &report);

    /** Records that the target announced its end. Returns false if this is not the target of the last report. */
    bool noteLeave(const std::string &target);

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

    std::uint64_t sequence() const
    {
        return report_.sequence;
    }

    /** Returns the number of starts of the target that the agent has observed. */
    std::uint64_t startCount() const
    {
        return startCount_;
    }

private:
    Milliseconds reportInterval_;
    Timestamp started_;
    TargetReport report_;
    std::optional<Timestamp> lastReport_;
    /** Time of the last report or packet of the target. */
    Timestamp lastContact_;
    std::optional<Timestamp> unansweredSince_;
    PauseDetector pauses_;
    std::uint64_t startCount_ = 0;
    bool hasLeft_ = false;
};

} // namespace rhubarblane

#endif
