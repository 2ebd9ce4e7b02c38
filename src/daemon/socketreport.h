#ifndef RHUBARBLANE_DAEMON_SOCKETREPORT_H
#define RHUBARBLANE_DAEMON_SOCKETREPORT_H

#include "daemon/sealedtransport.h"
#include "runtime/metricstext.h"
#include "runtime/udpsocket.h"

#include <cpprest/json.h>

namespace rhubarblane
{

/** Adds the datagram counters of both sockets of a process to a metrics page. */
void addSocketMetrics(MetricsText &text, const UdpSocket &fabric, const SealedTransport &peers);

web::json::value socketDump(const UdpSocket &fabric, const SealedTransport &peers);

/** Returns a target entry in the JSON form of the dump. */
web::json::value toJson(const wire::TargetEntry &entry);

} // namespace rhubarblane

#endif
