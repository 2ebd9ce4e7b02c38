#include "bench/payload.h"

#include <tins/ip.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>

#include <cstring>

namespace rhubarblane
{

namespace
{

std::string bytesOf(const Payload &payload)
{
    return std::string(reinterpret_cast<const char *>(&payload), sizeof(payload));
}

std::string buildTcp(const FlowTuple &flow, const Payload &payload, bool fromCaller)
{
    Tins::TCP tcp(fromCaller ? flow.servicePort : flow.callerPort, fromCaller ? flow.callerPort : flow.servicePort);
    const bool opens = payload.kind != Payload::Kind::StreamData;
    tcp.flags(fromCaller && opens ? Tins::TCP::SYN : fromCaller ? Tins::TCP::ACK : Tins::TCP::ACK | Tins::TCP::PSH);
    const Tins::IPv4Address caller(Tins::Endian::host_to_be(flow.callerAddress));
    const Tins::IPv4Address service(Tins::Endian::host_to_be(flow.serviceAddress));
    Tins::IP ip =
        Tins::IP(fromCaller ? service : caller, fromCaller ? caller : service) / tcp / Tins::RawPDU(bytesOf(payload));
    const auto bytes = ip.serialize();
    return std::string(bytes.begin(), bytes.end());
}

} // namespace

std::string buildCallerPacket(const FlowTuple &flow, const Payload &payload)
{
    return flow.protocol == Protocol::Tcp ? buildTcp(flow, payload, true) : buildUdpRequest(flow, bytesOf(payload));
}

std::string buildAnswer(const FlowTuple &flow, const Payload &payload)
{
    return flow.protocol == Protocol::Tcp ? buildTcp(flow, payload, false) : buildUdpReply(flow, bytesOf(payload));
}

std::optional<Payload> payloadOf(const std::string &packet, const PacketInfo &info)
{
    Payload payload;
    if (info.payloadSize != sizeof(payload)) {
        return std::nullopt;
    }
    std::memcpy(&payload, packet.data() + info.payloadOffset, sizeof(payload));
    return payload;
}

} // namespace rhubarblane
