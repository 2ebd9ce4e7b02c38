#ifndef RHUBARBLANE_DAEMON_AGENTREPORT_H
#define RHUBARBLANE_DAEMON_AGENTREPORT_H

#include "agent/agentcore.h"
#include "daemon/targetlink.h"
#include "runtime/metricstext.h"

#include <cpprest/json.h>

namespace rhubarblane
{

void addAgentMetrics(MetricsText &text, const AgentCore &core, const TargetLink &target);

/** Returns the counters, the roster and the flows of an agent as JSON. */
web::json::value agentDump(const AgentCore &core, const TargetLink &target);

} // namespace rhubarblane

#endif
