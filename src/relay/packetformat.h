#ifndef RHUBARBLANE_RELAY_PACKETFORMAT_H
#define RHUBARBLANE_RELAY_PACKETFORMAT_H

#include "wire/flowtuple.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rhubarblane
{

/** The sender of a packet that an agent or balancer received. */
enum class PacketOrigin {
    Caller,
    Target, ///< Includes packets of callers that the target returned.
};

/** The header fields of a packet that the relay uses. */
struct RelayPacket {
    FlowTuple flow; ///< Always in the direction from the caller to the service.
    bool opening = false; ///< The SYN flag.
    bool acknowledging = false; ///< The ACK flag.
    bool closing = false; ///< The FIN flag.
    bool reset = false;
    bool returned = false; ///< Returned by the target, which does not hold the flow or cannot accept it.
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::uint32_t payloadBytes = 0;
    /** The tag set by PacketFormat::setTag() on packets to the target; a returned packet retains it. */
    std::uint32_t tag = 0;
};

/** Decodes and modifies packets in the format of the network in front of the balancers. */
class PacketFormat
{
public:
    virtual ~PacketFormat() = default;

    /** Returns the header, or no value if the packet is malformed. */
    virtual std::optional<RelayPacket> decode(std::string_view packet, PacketOrigin origin) const = 0;

    /** Sets the tag, which neither caller nor target reads. The packet must be one that decode() accepts. */
    virtual void setTag(std::string &packet, std::uint32_t tag) const = 0;

    /** Restores a returned packet to the form in which the caller sent it. */
    virtual void restore(std::string &packet) const = 0;

    /** Returns a reset packet that the caller accepts as an answer to its packet. */
    virtual std::string makeReset(const RelayPacket &answered) const = 0;
};

} // namespace rhubarblane

#endif
