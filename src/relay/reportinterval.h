#ifndef RHUBARBLANE_RELAY_REPORTINTERVAL_H
#define RHUBARBLANE_RELAY_REPORTINTERVAL_H

#include "base/clock.h"

namespace rhubarblane
{

/** Loads also come with each answer to an offer; reports are for balancers that make few offers. */
constexpr Milliseconds ShortestReportInterval(250);
/** Balancers notice a silent agent after four of these. */
constexpr Milliseconds LongestReportInterval(1000);

} // namespace rhubarblane

#endif
