#ifndef RHUBARBLANE_RELAY_REPORTINTERVAL_H
#define RHUBARBLANE_RELAY_REPORTINTERVAL_H

#include "base/clock.h"

namespace rhubarblane
{

/** Each answer to an offer also carries the load; periodic reports serve balancers that make few offers. */
constexpr Milliseconds ShortestReportInterval(250);
/** Balancers stop using an agent after MissedReports intervals without a message. */
constexpr int MissedReports = 4;
/** For balancers in the agent's availability zone, which prefer its target. */
constexpr Milliseconds LongestReportInterval(1000);
/** For balancers in other availability zones. Their offers to the target carry its load back. */
constexpr Milliseconds LongestOtherZoneReportInterval = LongestReportInterval * 2;

} // namespace rhubarblane

#endif
