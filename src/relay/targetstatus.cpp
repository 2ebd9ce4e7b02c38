#include "relay/targetstatus.h"

#include <algorithm>

namespace rhubarblane
{

namespace
{

// Two consecutive reports may be lost or late before a target that sends no packets either counts as gone.
constexpr int MissedReports = 3;
// A target that has sent no report for this number of intervals has probably been replaced by the one that reports now.
constexpr int OverdueReports = 2;
// Late reports arrive within seconds, in which a target starts a few times at most.
constexpr std::size_t MaximumReplacedStarts = 8;
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
    const bool sameStart = lastReport_ && report.isOfSameStart(report_);
    const bool continues = sameStart && report.sequence > report_.sequence;
    if (sameStart && !continues && !isOverdue(now)) {
        return Change::Outdated;
    }
    const bool newStart = !continues;
    if (lastReport_ && newStart && !provesNewStart(now, report)) {
        unconfirmed_ = report;
        return Change::Unconfirmed;
    }
    if (lastReport_ && newStart && !sameStart) {
        replaced_.push_back(report_);
        if (replaced_.size() > MaximumReplacedStarts) {
            replaced_.pop_front();
        }
    }
    unconfirmed_.reset();
    const bool changed = report.draining != report_.draining || leaveAnnounced_;
    report_ = report;
    lastReport_ = now;
    lastContact_ = now;
    unansweredSince_.reset();
    leaveAnnounced_.reset();
    if (newStart) {
        ++startCount_;
        return Change::NewStart;
    }
    return changed ? Change::Changed : Change::None;
}

bool TargetStatus::isOverdue(Timestamp now) const
{
    return pauses_.observedSilence(now, *lastReport_) > reportInterval_ * OverdueReports;
}

bool TargetStatus::wasReplaced(const TargetReport &report) const
{
    return std::any_of(replaced_.begin(), replaced_.end(), [&report](const TargetReport &replaced) {
        return report.isOfSameStart(replaced);
    });
}

bool TargetStatus::provesNewStart(Timestamp now, const TargetReport &report) const
{
    if (unconfirmed_ && report.isOfSameStart(*unconfirmed_) && report.sequence > unconfirmed_->sequence) {
        return true;
    }
    if (wasReplaced(report) || report.isOfSameStart(report_)) {
        return false;
    }
    const bool later =
        report.started > report_.started || (report.started == report_.started && report.target != report_.target);
    return later || leaveAnnounced_ || isOverdue(now);
}

bool TargetStatus::noteLeave(Timestamp now, const std::string &target)
{
    if (!lastReport_ || target != report_.target) {
        return false;
    }
    leaveAnnounced_ = now;
    return true;
}

bool TargetStatus::hasLeft(Timestamp now) const
{
    return leaveAnnounced_
        && pauses_.observedSilence(now, std::max(*leaveAnnounced_, lastContact_)) > reportInterval_ * OverdueReports;
}

bool TargetStatus::isLeaveUnconfirmed(Timestamp now) const
{
    return leaveAnnounced_ && state(now) != TargetState::Gone;
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
    if (hasLeft(now) || pauses_.observedSilence(now, lastContact_) > reportInterval_ * MissedReports) {
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
