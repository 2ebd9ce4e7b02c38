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

/** What the cores need to know of a packet. */
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

    /** True for a packet that can open a flow: a TCP SYN without ACK, or any UDP packet. */
    bool canOpenFlow() const
    {
        return flow.protocol == Protocol::Udp || (syn && !ack);
    }
};

/** Why a caller gets a refusal; decides the packet that tells it. */
enum class Refusal : std::uint32_t {
    NotRun = 1, ///< The request did not run and never will.
    Unknown = 2, ///< The request may have run.
};

/** Parses a raw IPv4 packet. Never throws. */
std::variant<PacketInfo, PacketError> parsePacket(std::string_view packet);

/** A UDP packet from the service to the caller of a flow, with checksums. */
std::string buildUdpReply(const FlowTuple &flow, std::string_view payload);

/** A UDP packet from the caller to the service of a flow, with checksums. */
std::string buildUdpRequest(const FlowTuple &flow, std::string_view payload);

/**
 * The packet that tells the caller of `packet` that its flow is refused: a TCP reset or an ICMP unreachable. A SYN is
 * answered with a reset only if its flow did not run.
 */
std::string buildRefusal(std::string_view packet, const PacketInfo &info, Refusal refusal);

} // namespace rhubarblane

#endif
