#ifndef RHUBARBLANE_RELAY_FLOWRETENTION_H
#define RHUBARBLANE_RELAY_FLOWRETENTION_H

#include "base/clock.h"

namespace rhubarblane
{

/** The platform's upper bound on the age of a flow; state of flows that are older or idle for longer is dropped. */
constexpr Milliseconds FlowRetention(60000);

} // namespace rhubarblane

#endif
