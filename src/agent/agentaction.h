#ifndef RHUBARBLANE_AGENT_AGENTACTION_H
#define RHUBARBLANE_AGENT_AGENTACTION_H

#include "wire/flowtuple.h"
#include "wire/peeraddress.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace rhubarblane
{

/** Distinguishes flows with the same tuple, so that a late answer is not sent on the next flow of a reused port. */
using FlowNumber = StrongId<struct FlowNumberTag>;

/** Sends a message to another process. */
struct SendMessage {
    PeerAddress to;
    wire::Envelope message;
};

/** Delivers a caller's IP packet to the local target. */
struct DeliverPacket {
    FlowTuple flow;
    FlowNumber number;
    std::string packet;
};

/** Sends an IP packet towards a caller through the fabric. */
struct SendToCaller {
    std::string packet;
};

/** Releases the local resources of a flow. The flow is closed at the target, or has to be closed there. */
struct CloseFlow {
    FlowTuple flow;
    FlowNumber number;
};

using AgentAction = std::variant<SendMessage, DeliverPacket, SendToCaller, CloseFlow>;

} // namespace rhubarblane

#endif
