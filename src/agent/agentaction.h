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

/** Tells two flows with the same tuple apart, so that a late answer never reaches the next flow on a reused port. */
using FlowNumber = StrongId<struct FlowNumberTag>;

/** Send a message to another process. */
struct SendMessage {
    PeerAddress to;
    wire::Envelope message;
};

/** Hand a caller's IP packet to the local target. */
struct DeliverPacket {
    FlowTuple flow;
    FlowNumber number;
    std::string packet;
};

/** Hand an IP packet to the fabric, towards a caller. */
struct SendToCaller {
    std::string packet;
};

/** Release the local resources of a flow; the target has seen or must see its end. */
struct CloseFlow {
    FlowTuple flow;
    FlowNumber number;
};

using AgentAction = std::variant<SendMessage, DeliverPacket, SendToCaller, CloseFlow>;

} // namespace rhubarblane

#endif
