#ifndef RHUBARBLANE_RELAY_RELAYTYPES_H
#define RHUBARBLANE_RELAY_RELAYTYPES_H

#include "base/strongid.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace rhubarblane
{

/** Targets that serve the same services; a hash of the group's name. */
using GroupId = StrongId<struct GroupTag>;
/** A process of the deployment; a hash of its name. */
using PeerId = StrongId<struct PeerTag>;
/** Orders the service tables; a higher one replaces a lower one. */
using TableVersion = StrongId<struct TableVersionTag>;

GroupId groupIdOf(std::string_view name);
PeerId peerIdOf(std::string_view name);

/** Requests that wait at a target beside those in its slots. Targets of the reference deployments reject the next one.
 */
constexpr std::uint32_t QueueLimit = 8;

/** What an agent knows of its target. The values are on the wire. */
enum class TargetState : std::uint8_t {
    Unknown = 0, ///< No status report yet.
    Ready = 1,
    Draining = 2, ///< Keeps its flows and gets no new one.
    Gone = 3, ///< Left, or sends no status reports any more.
    Unresponsive = 4, ///< Does not answer opening packets.
    AgentLeaving = 5, ///< The agent itself stops.
    Ejected = 6, ///< Cuts off its requests and gets no new flow for some time.
};

/** How an agent treats a forwarded packet. The values are on the wire. */
enum class ForwardMode : std::uint8_t {
    Open = 0, ///< Opens a flow here if the target can take it.
    Known = 1, ///< The balancer believes that the flow is here.
    Search = 2, ///< Shows whether the target holds the flow; the agent was uncertain.
};

/** Why an agent returned a packet. The values are on the wire. */
enum class ReturnReason : std::uint8_t {
    Busy = 0, ///< The wait for a slot would be longer than accepted.
    Full = 1, ///< The target itself returned the opening packet.
    NotReady = 2, ///< The target drains, is gone or is not known yet.
    NotHeld = 3, ///< The target returned a packet of a flow that it does not hold.
    WrongGroup = 4, ///< The agent serves another group.
};

/** What an agent says of a flow. The values are on the wire. */
enum class FlowPresence : std::uint8_t {
    Opened = 0, ///< The target has just answered the opening packet.
    Held = 1, ///< The answer to a search: the flow is here.
    Absent = 2, ///< The answer to a search: the flow is certainly not here.
    Uncertain = 3, ///< The answer to a search: only the target can tell.
};

std::string nameOf(TargetState state);
std::string nameOf(ReturnReason reason);

} // namespace rhubarblane

#endif
