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

/** Returns the known targets as a JSON array. */
web::json::value targetsDump(const BalancerCore &core);

/** Returns the counters, the configuration and the targets of a balancer as JSON. */
web::json::value balancerDump(const BalancerCore &core);

/**
 * Returns the members with the revision that each has in force, or revision 0 for a member that lags or is not counted
 * yet. The entry of the newest peer always has the revision that the peer announced, so that the configuration can be
 * fetched from it.
 */
std::vector<BalancerRevision> revisionsOf(const std::vector<MemberView> &members,
                                          const std::optional<ConfigurationPeer> &newest,
                                          const InForceCount &count,
                                          const BalancerRevision &own);

} // namespace rhubarblane

#endif
