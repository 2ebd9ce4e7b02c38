#include "standins/answerpacket.h"

#include "wire/ippacket.h"

#include <tins/icmp.h>
#include <tins/ip.h>
#include <tins/rawpdu.h>

namespace rhubarblane
{

namespace
{

// Offset of the destination port behind a 20-byte IP header. Every ICMP error quotes the header and the next 8 bytes.
constexpr std::size_t QuotedHeaderBytes = 20;
constexpr std::size_t QuotedLeastBytes = 28;

std::uint16_t wordAt(const std::vector<std::uint8_t> &bytes, std::size_t offset)
{
    return static_cast<std::uint16_t>((bytes[offset] << 8) | bytes[offset + 1]);
}

std::optional<AnswerPacket> parseUnreachable(std::string_view packet)
{
    try {
        const Tins::IP ip(reinterpret_cast<const std::uint8_t *>(packet.data()),
                          static_cast<std::uint32_t>(packet.size()));
        const auto *icmp = ip.find_pdu<Tins::ICMP>();
        const auto *raw = ip.find_pdu<Tins::RawPDU>();
        if (icmp == nullptr || icmp->type() != Tins::ICMP::DEST_UNREACHABLE || raw == nullptr
            || raw->payload().size() < QuotedLeastBytes) {
            return std::nullopt;
        }
        AnswerPacket answer;
        answer.kind = AnswerPacket::Kind::Unreachable;
        answer.code = icmp->code();
        answer.serviceAddress = Tins::Endian::be_to_host(static_cast<std::uint32_t>(ip.src_addr()));
        answer.callerPort = wordAt(raw->payload(), QuotedHeaderBytes);
        answer.servicePort = wordAt(raw->payload(), QuotedHeaderBytes + 2);
        return answer;
    } catch (const Tins::exception_base &) {
        return std::nullopt;
    }
}

} // namespace

std::optional<AnswerPacket> parseAnswerPacket(std::string_view packet)
{
    const auto parsed = parsePacket(packet);
    const PacketInfo *info = std::get_if<PacketInfo>(&parsed);
    if (info == nullptr) {
        return parseUnreachable(packet);
    }
    // The parser names the fields for packets from callers. In a reply, source and destination are exchanged.
    AnswerPacket answer;
    answer.kind = info->flow.protocol == Protocol::Tcp ? AnswerPacket::Kind::Tcp : AnswerPacket::Kind::Udp;
    answer.serviceAddress = info->flow.callerAddress;
    answer.servicePort = info->flow.callerPort;
    answer.callerPort = info->flow.servicePort;
    answer.payload = std::string(packet.substr(info->payloadOffset, info->payloadSize));
    return answer;
}

} // namespace rhubarblane
