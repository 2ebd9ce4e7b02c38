#ifndef RHUBARBLANE_CONTROL_PEERCLIENT_H
#define RHUBARBLANE_CONTROL_PEERCLIENT_H

#include "base/clock.h"
#include "base/ids.h"
#include "base/outcome.h"
#include "wire/generated/rhubarblane.pb.h"
#include "wire/peeraddress.h"

namespace rhubarblane
{

/** Fetches the configuration from a peer by gRPC; blocks up to the timeout. Fails only with Unavailable. */
Outcome<wire::ConfigurationReply> fetchConfiguration(const PeerAddress &peer, Revision known, Milliseconds timeout);

} // namespace rhubarblane

#endif
