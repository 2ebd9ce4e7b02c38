#ifndef RHUBARBLANE_DAEMON_BALANCERREPORT_H
#define RHUBARBLANE_DAEMON_BALANCERREPORT_H

#include "balancer/balancercore.h"
#include "control/controlsettings.h"
#include "membership/membershipcore.h"
#include "runtime/metricstext.h"

#include <cpprest/json.h>

#include <optional>
#include <vector>

namespace rhubarblane
{

void addBalancerMetrics(MetricsText &text, const BalancerCore &core);

/** Known targets as a JSON array. */
web::json::value targetsDump(const BalancerCore &core);

/** Counters, configuration and targets of a balancer. */
web::json::value balancerDump(const BalancerCore &core);

/**
 * The members with the revision that each has in force; revision 0 for a member that lags or is not counted yet. The
 * newest peer always has the revision that it announced, so that it can be asked for the configuration.
 */
std::vector<BalancerRevision> revisionsOf(const std::vector<MemberView> &members,
                                          const std::optional<ConfigurationPeer> &newest,
                                          const InForceCount &count,
                                          const BalancerRevision &own);

} // namespace rhubarblane

#endif
