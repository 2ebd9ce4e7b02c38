#include "wire/ippacket.h"

#include <tins/icmp.h>
#include <tins/ip.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>
#include <tins/udp.h>

namespace rhubarblane
{

namespace
{

// Codes of ICMP type 3, destination unreachable (RFC 792 and RFC 1812).
constexpr std::uint8_t IcmpHostUnreachable = 1;
constexpr std::uint8_t IcmpAdministrativelyProhibited = 13;
// An ICMP error quotes as much of the original packet as fits into 576 bytes (RFC 1812, 4.3.2.3).
constexpr std::size_t IcmpQuotedBytes = 548;

Tins::IPv4Address toTins(std::uint32_t address)
{
    return Tins::IPv4Address(Tins::Endian::host_to_be(address));
}

std::uint32_t fromTins(const Tins::IPv4Address &address)
{
    return Tins::Endian::be_to_host(static_cast<std::uint32_t>(address));
}

std::string serialize(Tins::PDU &pdu)
{
    const Tins::PDU::serialization_type bytes = pdu.serialize();
    return std::string(bytes.begin(), bytes.end());
}

std::variant<PacketInfo, PacketError> parseTransport(const Tins::IP &ip, std::string_view packet)
{
    PacketInfo info;
    info.flow.callerAddress = fromTins(ip.src_addr());
    info.flow.serviceAddress = fromTins(ip.dst_addr());
    if (const auto *udp = ip.find_pdu<Tins::UDP>()) {
        info.flow.protocol = Protocol::Udp;
        info.flow.callerPort = udp->sport();
        info.flow.servicePort = udp->dport();
        info.payloadOffset = ip.header_size() + udp->header_size();
    } else if (const auto *tcp = ip.find_pdu<Tins::TCP>()) {
        info.flow.protocol = Protocol::Tcp;
        info.flow.callerPort = tcp->sport();
        info.flow.servicePort = tcp->dport();
        info.syn = tcp->get_flag(Tins::TCP::SYN) != 0;
        info.ack = tcp->get_flag(Tins::TCP::ACK) != 0;
        info.fin = tcp->get_flag(Tins::TCP::FIN) != 0;
        info.reset = tcp->get_flag(Tins::TCP::RST) != 0;
        info.sequence = tcp->seq();
        info.acknowledgement = tcp->ack_seq();
        info.payloadOffset = ip.header_size() + tcp->header_size();
    } else {
        return PacketError::UnsupportedProtocol;
    }
    const std::size_t total = ip.tot_len();
    if (total > packet.size() || info.payloadOffset > total) {
        return PacketError::Malformed;
    }
    info.payloadSize = total - info.payloadOffset;
    return info;
}

std::string buildReset(const PacketInfo &info)
{
    Tins::TCP tcp(info.flow.callerPort, info.flow.servicePort);
    // The reset takes its sequence number from the ACK, if there is one, otherwise it acknowledges the segment
    // (RFC 9293, 3.5.2).
    if (info.ack) {
        tcp.seq(info.acknowledgement);
        tcp.set_flag(Tins::TCP::RST, 1);
    } else {
        const std::uint32_t length =
            static_cast<std::uint32_t>(info.payloadSize) + (info.syn ? 1 : 0) + (info.fin ? 1 : 0);
        tcp.seq(0);
        tcp.ack_seq(info.sequence + length);
        tcp.set_flag(Tins::TCP::RST, 1);
        tcp.set_flag(Tins::TCP::ACK, 1);
    }
    Tins::IP ip = Tins::IP(toTins(info.flow.callerAddress), toTins(info.flow.serviceAddress)) / tcp;
    return serialize(ip);
}

std::string buildUnreachable(std::string_view packet, const PacketInfo &info, std::uint8_t code)
{
    Tins::ICMP icmp(Tins::ICMP::DEST_UNREACHABLE);
    icmp.code(code);
    const std::string quoted(packet.substr(0, IcmpQuotedBytes));
    Tins::IP ip =
        Tins::IP(toTins(info.flow.callerAddress), toTins(info.flow.serviceAddress)) / icmp / Tins::RawPDU(quoted);
    return serialize(ip);
}

std::string
buildUdp(std::uint32_t from, std::uint16_t fromPort, std::uint32_t to, std::uint16_t toPort, std::string_view payload)
{
    Tins::IP ip = Tins::IP(toTins(to), toTins(from)) / Tins::UDP(toPort, fromPort) / Tins::RawPDU(std::string(payload));
    ip.ttl(64);
    return serialize(ip);
}

} // namespace

std::variant<PacketInfo, PacketError> parsePacket(std::string_view packet)
{
    try {
        const Tins::IP ip(reinterpret_cast<const std::uint8_t *>(packet.data()),
                          static_cast<std::uint32_t>(packet.size()));
        if (ip.version() != 4) {
            return PacketError::UnsupportedProtocol;
        }
        if (ip.is_fragmented()) {
            return PacketError::Fragment;
        }
        return parseTransport(ip, packet);
    } catch (const Tins::exception_base &) {
        return PacketError::Malformed;
    }
}

std::string buildUdpReply(const FlowTuple &flow, std::string_view payload)
{
    return buildUdp(flow.serviceAddress, flow.servicePort, flow.callerAddress, flow.callerPort, payload);
}

std::string buildUdpRequest(const FlowTuple &flow, std::string_view payload)
{
    return buildUdp(flow.callerAddress, flow.callerPort, flow.serviceAddress, flow.servicePort, payload);
}

std::string buildRefusal(std::string_view packet, const PacketInfo &info, Refusal refusal)
{
    // Callers take a reset in response to a SYN as proof that the request did not run, so it is not sent if the outcome
    // is unknown.
    const bool isUnknownOpening = refusal == Refusal::Unknown && info.canOpenFlow();
    if (info.flow.protocol == Protocol::Tcp && !isUnknownOpening) {
        return buildReset(info);
    }
    const std::uint8_t code = refusal == Refusal::NotRun ? IcmpAdministrativelyProhibited : IcmpHostUnreachable;
    return buildUnreachable(packet, info, code);
}

} // namespace rhubarblane
