#ifndef RHUBARBLANE_BALANCER_BALANCERACTION_H
#define RHUBARBLANE_BALANCER_BALANCERACTION_H

#include "wire/peeraddress.h"

namespace rhubarblane
{

/** Send a message to another process. */
struct BalancerSend {
    PeerAddress to;
    wire::Envelope message;
};

} // namespace rhubarblane

#endif
