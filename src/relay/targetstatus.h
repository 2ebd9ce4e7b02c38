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
    /** Unix milliseconds of the target's start. */
    std::int64_t started = 0;
    /** Grows with each report of one start. */
    std::uint64_t sequence = 0;
    std::uint32_t slots = 1;
    bool draining = false;
};

/** What an agent believes of its target. */
class TargetStatus
{
public:
    enum class Change {
        None, ///< Reports the same.
        Changed, ///< Another state.
        NewStart, ///< The target started again and holds no flow of before.
        Outdated, ///< A late report, which changed nothing.
    };

    TargetStatus(Milliseconds reportInterval, Timestamp now);

    /** Must be called with each event. */
    void advance(Timestamp now)
    {
        pauses_.advance(now);
    }

    Change report(Timestamp now, const TargetReport &report);

    /** The target said that it has ended. Returns false if another start is known by now. */
    bool noteLeave(const std::string &target);

    /** A packet of the target arrived that shows that it runs. */
    void noteResponse(Timestamp now);

    /** Whether the target sent no report since the agent started, although a running one would have. */
    bool isFirstReportOverdue(Timestamp now) const;

    /** An opening packet was sent to the target. */
    void noteOpeningPacketSent(Timestamp now);

    TargetState state(Timestamp now) const;

    const std::string &target() const
    {
        return report_.target;
    }

    /** Age of the last report; nothing before the first one. */
    std::optional<Milliseconds> reportAge(Timestamp now) const;

    std::uint64_t sequence() const
    {
        return report_.sequence;
    }

    /** Counts the starts of the target that the agent saw. */
    std::uint64_t startCount() const
    {
        return startCount_;
    }

private:
    Milliseconds reportInterval_;
    Timestamp started_;
    TargetReport report_;
    std::optional<Timestamp> lastReport_;
    /** The last report or packet of the target. */
    Timestamp lastContact_;
    std::optional<Timestamp> unansweredSince_;
    PauseDetector pauses_;
    std::uint64_t startCount_ = 0;
    bool hasLeft_ = false;
};

} // namespace rhubarblane

#endif
