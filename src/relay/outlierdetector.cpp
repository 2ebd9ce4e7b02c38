#include "relay/outlierdetector.h"

#include <algorithm>

namespace rhubarblane
{

namespace
{

// A target that answers 99% of its requests fails three consecutive ones once in a million requests. A target that
// fails a third of them does so within 40 requests, or 1 s of the usual load.
constexpr std::uint32_t FailuresToEject = 3;
// Lasts for some tens of requests at the usual load, so a target that was ejected by chance is back soon.
constexpr Milliseconds ShortestEjection(500);
// Limits how long a target that has recovered gets no new flows.
constexpr Milliseconds LongestEjection(4000);
// Each further ejection of an unstable target is longer. After this time without an ejection, the next one is short.
constexpr Milliseconds RecoveryPeriod(10000);

} // namespace

void OutlierDetector::noteAnswer(Timestamp now)
{
    // Requests that started before the ejection may still be answered; they do not end the trial.
    if (!isEjected(now)) {
        onTrial_ = false;
        consecutiveFailures_ = 0;
    }
}

void OutlierDetector::noteFailure(Timestamp now)
{
    ++consecutiveFailures_;
    if (!isEjected(now) && (onTrial_ || consecutiveFailures_ >= FailuresToEject)) {
        eject(now);
    }
}

void OutlierDetector::eject(Timestamp now)
{
    if (nextEjection_ == Milliseconds(0) || now - ejectedUntil_ >= RecoveryPeriod) {
        nextEjection_ = ShortestEjection;
    }
    ejectedUntil_ = now + nextEjection_;
    nextEjection_ = std::min(nextEjection_ * 2, LongestEjection);
    onTrial_ = true;
    ++ejections_;
}

void OutlierDetector::clear()
{
    consecutiveFailures_ = 0;
    onTrial_ = false;
    ejectedUntil_ = Timestamp();
    nextEjection_ = Milliseconds(0);
}

} // namespace rhubarblane
