#ifndef RHUBARBLANE_RELAY_RELAYTYPES_H
#define RHUBARBLANE_RELAY_RELAYTYPES_H

#include "base/strongid.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace rhubarblane
{

/** Identifies a group of targets that serve the same services; a hash of the group's name. */
using GroupId = StrongId<struct GroupTag>;
/** Identifies a process of the deployment; a hash of its name. */
using PeerId = StrongId<struct PeerTag>;
/** Orders the service tables; a higher one replaces a lower one. */
using TableVersion = StrongId<struct TableVersionTag>;

GroupId groupIdOf(std::string_view name);
PeerId peerIdOf(std::string_view name);

/**
 * Maximum number of requests that wait at a target in addition to those in its slots. Targets of the reference
 * deployments reject further requests.
 */
constexpr std::uint32_t QueueLimit = 8;

/** The state of a target as determined by its agent. The values are on the wire. */
enum class TargetState : std::uint8_t {
    Unknown = 0, ///< No status report has arrived yet.
    Ready = 1,
    Draining = 2, ///< Keeps its flows and gets no new ones.
    Gone = 3, ///< Has ended, or sends no status reports any more.
    Unresponsive = 4, ///< Does not answer opening packets.
    AgentLeaving = 5, ///< The agent itself shuts down.
    Ejected = 6, ///< Has reset requests and gets no new flows for some time; see OutlierDetector.
};

/** How an agent handles a forwarded packet. The values are on the wire. */
enum class ForwardMode : std::uint8_t {
    Open = 0, ///< Opens a flow at the target if it can accept one.
    Known = 1, ///< The balancer assumes that the target holds the flow.
    Search = 2, ///< Probes whether the target holds the flow, after the agent answered Uncertain.
};

/** Why an agent returned a packet. The values are on the wire. */
enum class ReturnReason : std::uint8_t {
    /** The expected wait for a slot is too long, the queue is full, or the target is on trial and has a request. */
    Busy = 0,
    Full = 1, ///< The target itself returned the opening packet.
    NotReady = 2, ///< The target is draining, gone, unresponsive or not known yet, or the agent shuts down.
    NotHeld = 3, ///< The target does not hold the flow of the packet, or has ended.
    WrongGroup = 4, ///< The agent serves another group.
    Evacuated = 5, ///< The agent's availability zone is evacuated.
    Cold = 6, ///< The target is cold and has got the maximum number of new flows within the last second.
};

/** An agent's statement about a flow. The values are on the wire. */
enum class FlowPresence : std::uint8_t {
    Opened = 0, ///< The target has just answered the opening packet.
    Held = 1, ///< Answer to a search: the target holds the flow.
    Absent = 2, ///< Answer to a search: the target certainly does not hold the flow.
    Uncertain = 3, ///< Answer to a search: only the target can tell.
};

std::string nameOf(TargetState state);
std::string nameOf(ReturnReason reason);

} // namespace rhubarblane

#endif
