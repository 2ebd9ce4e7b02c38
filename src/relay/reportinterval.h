#ifndef RHUBARBLANE_RELAY_REPORTINTERVAL_H
#define RHUBARBLANE_RELAY_REPORTINTERVAL_H

#include "base/clock.h"

namespace rhubarblane
{

/** Each answer to an offer also carries the load; periodic reports serve balancers that make few offers. */
constexpr Milliseconds ShortestReportInterval(250);
/** Balancers stop using an agent after four intervals without a message. */
constexpr Milliseconds LongestReportInterval(1000);

} // namespace rhubarblane

#endif
