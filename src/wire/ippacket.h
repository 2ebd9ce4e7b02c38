#ifndef RHUBARBLANE_WIRE_IPPACKET_H
#define RHUBARBLANE_WIRE_IPPACKET_H

#include "base/outcome.h"
#include "wire/flowtuple.h"

#include <string>
#include <string_view>

namespace rhubarblane
{

enum class PacketError {
    Malformed,
    Fragment,
    UnsupportedProtocol,
};

/** The fields of a packet that the balancer and the agent use. */
struct PacketInfo {
    FlowTuple flow;
    bool syn = false;
    bool ack = false;
    bool fin = false;
    bool reset = false;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::size_t payloadOffset = 0;
    std::size_t payloadSize = 0;

    /** Returns true for a packet that can open a flow: a TCP SYN without ACK, or any UDP packet. */
    bool canOpenFlow() const
    {
        return flow.protocol == Protocol::Udp || (syn && !ack);
    }
};

/** The reason why a flow is refused; it determines the packet that is sent to the caller. */
enum class Refusal : std::uint32_t {
    NotRun = 1, ///< The request did not run and never will.
    Unknown = 2, ///< The request may have run.
};

/** Parses a raw IPv4 packet. Never throws. */
std::variant<PacketInfo, PacketError> parsePacket(std::string_view packet);

/** Returns a UDP packet from the service to the caller of a flow, with checksums. */
std::string buildUdpReply(const FlowTuple &flow, std::string_view payload);

/** Returns a UDP packet from the caller to the service of a flow, with checksums. */
std::string buildUdpRequest(const FlowTuple &flow, std::string_view payload);

/**
 * Returns the packet that notifies the caller of `packet` that its flow is refused: a TCP reset or an ICMP destination
 * unreachable. The response to a SYN is a reset only if its flow did not run.
 */
std::string buildRefusal(std::string_view packet, const PacketInfo &info, Refusal refusal);

} // namespace rhubarblane

#endif
