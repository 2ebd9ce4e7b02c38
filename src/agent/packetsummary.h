#ifndef RHUBARBLANE_AGENT_PACKETSUMMARY_H
#define RHUBARBLANE_AGENT_PACKETSUMMARY_H

#include "wire/flowtuple.h"

#include <cstdint>
#include <string_view>

namespace rhubarblane
{

/** The header fields that the delivery path needs, read without a full parse. All zero for a malformed packet. */
struct PacketSummary {
    bool syn = false;
    bool ack = false;
    bool fin = false;
    bool reset = false;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    /** Bytes after the transport header. */
    std::size_t payloadSize = 0;

    /** True if a TCP peer must answer the segment. */
    bool expectsAnswer() const
    {
        return !reset && (syn || fin || payloadSize > 0);
    }
};

PacketSummary summarizePacket(Protocol protocol, std::string_view packet);

/**
 * Identifies the opening packet of a flow: equal for copies of one packet, different for the next flow on a reused
 * port. Fields that routers change are left out.
 */
std::uint64_t fingerprintOf(Protocol protocol, std::string_view packet);

} // namespace rhubarblane

#endif
