#ifndef RHUBARBLANE_RELAY_FLOWRETENTION_H
#define RHUBARBLANE_RELAY_FLOWRETENTION_H

#include "base/clock.h"

namespace rhubarblane
{

/** No flow is older and still worth keeping (the platform's bound on flows), nor idle for longer. */
constexpr Milliseconds FlowRetention(60000);

} // namespace rhubarblane

#endif
