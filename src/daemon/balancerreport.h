#ifndef RHUBARBLANE_DAEMON_BALANCERREPORT_H
#define RHUBARBLANE_DAEMON_BALANCERREPORT_H

#include "balancer/balancercore.h"
#include "daemon/metricstext.h"

#include <cpprest/json.h>

namespace rhubarblane
{

void addBalancerMetrics(MetricsText &text, const BalancerCore &core);

/** Known targets as a JSON array. */
web::json::value targetsDump(const BalancerCore &core);

/** Counters, configuration and targets of a balancer. */
web::json::value balancerDump(const BalancerCore &core);

} // namespace rhubarblane

#endif
