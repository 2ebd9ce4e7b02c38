#ifndef RHUBARBLANE_RELAY_FLOWRETENTION_H
#define RHUBARBLANE_RELAY_FLOWRETENTION_H

#include "base/clock.h"

namespace rhubarblane
{

/** The platform's upper bound on the age of a flow. The state of a flow that is idle for this long is dropped. */
constexpr Milliseconds FlowRetention(60000);

} // namespace rhubarblane

#endif
