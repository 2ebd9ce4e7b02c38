#include "relay/targetstatus.h"

namespace rhubarblane
{

namespace
{

// Two reports in a row may be lost or late before a target that sends no packets either counts as gone.
constexpr int MissedReports = 3;
// Targets report about once an interval, and repeat a report without an answer sooner.
constexpr std::int64_t OverduePercent = 125;
// A live target on the same VM answers an opening packet within a millisecond; this leaves room for a busy processor.
constexpr Milliseconds OpenAnswerTimeout(100);

} // namespace

TargetStatus::TargetStatus(Milliseconds reportInterval, Timestamp now)
    : reportInterval_(reportInterval)
    , started_(now)
    , heard_(now)
    , pauses_(now)
{
}

TargetStatus::Change TargetStatus::report(Timestamp now, const TargetReport &report)
{
    const bool first = !reported_;
    if (!first && report.started < report_.started) {
        return Change::Outdated;
    }
    const bool newStart = first || report.started > report_.started || report.target != report_.target;
    if (!newStart && report.sequence <= report_.sequence) {
        return Change::Outdated;
    }
    const bool changed = report.draining != report_.draining || left_;
    report_ = report;
    reported_ = now;
    heard_ = now;
    unanswered_.reset();
    left_ = false;
    if (newStart) {
        ++starts_;
        return Change::NewStart;
    }
    return changed ? Change::Changed : Change::None;
}

bool TargetStatus::leave(const std::string &target)
{
    if (!reported_ || target != report_.target) {
        return false;
    }
    left_ = true;
    return true;
}

void TargetStatus::answered(Timestamp now)
{
    heard_ = now;
    unanswered_.reset();
}

void TargetStatus::askedToOpen(Timestamp now)
{
    if (!unanswered_) {
        unanswered_ = now;
    }
}

TargetState TargetStatus::state(Timestamp now) const
{
    if (left_ || pauses_.silence(now, heard_) > reportInterval_ * MissedReports) {
        return TargetState::Gone;
    }
    if (!reported_) {
        return TargetState::Unknown;
    }
    if (report_.draining) {
        return TargetState::Draining;
    }
    if (unanswered_ && pauses_.silence(now, *unanswered_) > OpenAnswerTimeout) {
        return TargetState::Unresponsive;
    }
    return TargetState::Ready;
}

bool TargetStatus::isFirstReportOverdue(Timestamp now) const
{
    return !reported_ && pauses_.silence(now, started_) > Milliseconds(reportInterval_.count() * OverduePercent / 100);
}

std::optional<Milliseconds> TargetStatus::reportAge(Timestamp now) const
{
    return reported_ ? std::optional<Milliseconds>(now - *reported_) : std::nullopt;
}

} // namespace rhubarblane
