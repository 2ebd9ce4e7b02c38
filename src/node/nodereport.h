#ifndef RHUBARBLANE_NODE_NODEREPORT_H
#define RHUBARBLANE_NODE_NODEREPORT_H

#include "node/relaysockets.h"
#include "relay/relayagent.h"
#include "relay/relaybalancer.h"

#include <string>

namespace rhubarblane
{

/** These return the metrics of a process in the Prometheus text format. */
std::string balancerMetrics(const RelayBalancer &core, const RelaySockets &sockets, Timestamp now);
std::string agentMetrics(const RelayAgent &core, const RelaySockets &sockets, Timestamp now);

/** These return the state of a process as JSON. */
std::string balancerDump(const RelayBalancer &core, Timestamp now);
std::string agentDump(const RelayAgent &core, Timestamp now);

} // namespace rhubarblane

#endif
