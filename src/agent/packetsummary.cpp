#include "agent/packetsummary.h"

#include "base/hash.h"

#include <algorithm>

namespace rhubarblane
{

namespace
{

// RFC 791 and RFC 9293 header layouts.
constexpr std::size_t MinimumIpHeader = 20;
constexpr std::size_t MinimumTcpHeader = 20;
constexpr std::size_t UdpHeader = 8;

std::uint32_t byteAt(std::string_view packet, std::size_t offset)
{
    return static_cast<unsigned char>(packet[offset]);
}

std::uint32_t wordAt(std::string_view packet, std::size_t offset)
{
    return byteAt(packet, offset) << 24 | byteAt(packet, offset + 1) << 16 | byteAt(packet, offset + 2) << 8
        | byteAt(packet, offset + 3);
}

/** Returns the offset of the transport header; 0 if there is none. */
std::size_t transportOffset(std::string_view packet, std::size_t transportHeader)
{
    if (packet.size() < MinimumIpHeader) {
        return 0;
    }
    const std::size_t offset = std::size_t {byteAt(packet, 0) & 0x0f} * 4;
    return offset >= MinimumIpHeader && offset + transportHeader <= packet.size() ? offset : 0;
}

/** Returns the packet without the bytes after the IP total length. */
std::string_view trimmed(std::string_view packet)
{
    const std::size_t total = byteAt(packet, 2) << 8 | byteAt(packet, 3);
    return packet.substr(0, std::min(total, packet.size()));
}

} // namespace

PacketSummary summarizePacket(Protocol protocol, std::string_view packet)
{
    PacketSummary summary;
    const std::size_t offset = transportOffset(packet, protocol == Protocol::Tcp ? MinimumTcpHeader : UdpHeader);
    if (offset == 0) {
        return summary;
    }
    const std::string_view whole = trimmed(packet);
    std::size_t payload = offset + UdpHeader;
    if (protocol == Protocol::Tcp) {
        const std::uint32_t flags = byteAt(packet, offset + 13);
        summary.fin = (flags & 0x01) != 0;
        summary.syn = (flags & 0x02) != 0;
        summary.reset = (flags & 0x04) != 0;
        summary.ack = (flags & 0x10) != 0;
        summary.sequence = wordAt(packet, offset + 4);
        summary.acknowledgement = wordAt(packet, offset + 8);
        payload = offset + std::size_t {byteAt(packet, offset + 12) >> 4} * 4;
    }
    summary.payloadSize = whole.size() > payload ? whole.size() - payload : 0;
    return summary;
}

std::uint64_t fingerprintOf(Protocol protocol, std::string_view packet)
{
    if (protocol == Protocol::Tcp) {
        return hashPair(1, summarizePacket(protocol, packet).sequence);
    }
    const std::size_t offset = transportOffset(packet, UdpHeader);
    return hashBytes(offset == 0 ? packet : trimmed(packet).substr(offset));
}

} // namespace rhubarblane
