#include "relay/outlierdetector.h"

#include <algorithm>

namespace rhubarblane
{

namespace
{

// A target that answers 99% of its requests fails three in a row once in a million; one that fails a third of them does
// so within 40 requests, a second of the usual load.
constexpr std::uint32_t FailuresToEject = 3;
// Some tens of requests; a target that was ejected by chance is soon back.
constexpr Milliseconds ShortestEjection(500);
// Bounds how long a target that has recovered stays without new flows.
constexpr Milliseconds LongestEjection(4000);
// A target that goes down and up by turns is ejected for longer each time, until it has served for this long.
constexpr Milliseconds RecoveryPeriod(10000);

} // namespace

void OutlierDetector::noteAnswer(Timestamp now)
{
    // Requests of before the ejection may still be answered.
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
