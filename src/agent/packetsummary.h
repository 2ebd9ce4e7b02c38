#ifndef RHUBARBLANE_AGENT_PACKETSUMMARY_H
#define RHUBARBLANE_AGENT_PACKETSUMMARY_H

#include "wire/flowtuple.h"

#include <cstdint>
#include <string_view>

namespace rhubarblane
{

/** Header fields needed for the delivery, read without a full parse. All fields are zero for a malformed packet. */
struct PacketSummary {
    bool syn = false;
    bool ack = false;
    bool fin = false;
    bool reset = false;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    /** Number of bytes after the transport header. */
    std::size_t payloadSize = 0;

    /** Returns true if a TCP peer must answer the segment. */
    bool expectsAnswer() const
    {
        return !reset && (syn || fin || payloadSize > 0);
    }
};

PacketSummary summarizePacket(Protocol protocol, std::string_view packet);

/**
 * Returns a fingerprint of the opening packet of a flow. It is equal for duplicates of one packet and different for the
 * next flow on a reused port. Fields that routers change are left out.
 */
std::uint64_t fingerprintOf(Protocol protocol, std::string_view packet);

} // namespace rhubarblane

#endif
