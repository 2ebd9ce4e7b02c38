#ifndef RHUBARBLANE_RELAY_PACKETFORMAT_H
#define RHUBARBLANE_RELAY_PACKETFORMAT_H

#include "wire/flowtuple.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rhubarblane
{

/** Who sent a packet that an agent or balancer received. */
enum class PacketOrigin {
    Caller,
    Target, ///< Also a packet of a caller that the target returned.
};

/** What the relay reads of a packet. */
struct RelayPacket {
    FlowTuple flow; ///< Always as the caller sends it.
    bool opening = false; ///< SYN.
    bool acknowledging = false;
    bool closing = false; ///< FIN.
    bool reset = false;
    bool returned = false; ///< The target does not hold the flow, or cannot take it.
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::uint32_t payloadBytes = 0;
    /** Set by mark() on the way to the target; a returned packet still has it. */
    std::uint32_t tag = 0;
};

/** The packets of the network in front of the balancers. */
class PacketFormat
{
public:
    virtual ~PacketFormat() = default;

    /** Nothing if the packet is malformed. */
    virtual std::optional<RelayPacket> decode(std::string_view packet, PacketOrigin origin) const = 0;

    /** Sets the tag, which neither end reads. The packet must be one that decode() accepts. */
    virtual void setTag(std::string &packet, std::uint32_t tag) const = 0;

    /** Makes a returned packet what the caller sent. */
    virtual void restore(std::string &packet) const = 0;

    /** A reset that the caller accepts as an answer to its packet. */
    virtual std::string makeReset(const RelayPacket &answered) const = 0;
};

} // namespace rhubarblane

#endif
