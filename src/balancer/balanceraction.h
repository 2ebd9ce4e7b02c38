#ifndef RHUBARBLANE_BALANCER_BALANCERACTION_H
#define RHUBARBLANE_BALANCER_BALANCERACTION_H

#include "wire/peeraddress.h"

namespace rhubarblane
{

/** A message that the balancer core asks its caller to send to another process. */
struct BalancerSend {
    PeerAddress to;
    wire::Envelope message;
};

} // namespace rhubarblane

#endif
