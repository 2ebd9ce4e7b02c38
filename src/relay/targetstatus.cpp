#include "relay/targetstatus.h"

namespace rhubarblane
{

namespace
{

// Two consecutive reports may be lost or late before a target that sends no packets either counts as gone.
constexpr int MissedReports = 3;
// Age of the agent, in percent of the report interval, from which the first report is overdue: targets report about
// once per interval, and repeat a report without an answer sooner.
constexpr std::int64_t OverduePercent = 125;
// A running target on the same VM answers an opening packet within 1 ms; the rest allows for a busy CPU.
constexpr Milliseconds OpenAnswerTimeout(100);

} // namespace

TargetStatus::TargetStatus(Milliseconds reportInterval, Timestamp now)
    : reportInterval_(reportInterval)
    , started_(now)
    , lastContact_(now)
    , pauses_(now)
{
}

TargetStatus::Change TargetStatus::report(Timestamp now, const TargetReport &report)
{
    const bool first = !lastReport_;
    if (!first && report.started < report_.started) {
        return Change::Outdated;
    }
    const bool newStart = first || report.started > report_.started || report.target != report_.target;
    if (!newStart && report.sequence <= report_.sequence) {
        return Change::Outdated;
    }
    const bool changed = report.draining != report_.draining || hasLeft_;
    report_ = report;
    lastReport_ = now;
    lastContact_ = now;
    unansweredSince_.reset();
    hasLeft_ = false;
    if (newStart) {
        ++startCount_;
        return Change::NewStart;
    }
    return changed ? Change::Changed : Change::None;
}

bool TargetStatus::noteLeave(const std::string &target)
{
    if (!lastReport_ || target != report_.target) {
        return false;
    }
    hasLeft_ = true;
    return true;
}

void TargetStatus::noteResponse(Timestamp now)
{
    lastContact_ = now;
    unansweredSince_.reset();
}

void TargetStatus::noteOpeningPacketSent(Timestamp now)
{
    if (!unansweredSince_) {
        unansweredSince_ = now;
    }
}

TargetState TargetStatus::state(Timestamp now) const
{
    if (hasLeft_ || pauses_.observedSilence(now, lastContact_) > reportInterval_ * MissedReports) {
        return TargetState::Gone;
    }
    if (!lastReport_) {
        return TargetState::Unknown;
    }
    if (report_.draining) {
        return TargetState::Draining;
    }
    if (unansweredSince_ && pauses_.observedSilence(now, *unansweredSince_) > OpenAnswerTimeout) {
        return TargetState::Unresponsive;
    }
    return TargetState::Ready;
}

bool TargetStatus::isFirstReportOverdue(Timestamp now) const
{
    return !lastReport_
        && pauses_.observedSilence(now, started_) > Milliseconds(reportInterval_.count() * OverduePercent / 100);
}

std::optional<Milliseconds> TargetStatus::reportAge(Timestamp now) const
{
    return lastReport_ ? std::optional<Milliseconds>(now - *lastReport_) : std::nullopt;
}

} // namespace rhubarblane
