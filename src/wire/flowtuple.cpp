#include "wire/flowtuple.h"

#include "base/hash.h"
#include "wire/peeraddress.h"

namespace rhubarblane
{

FlowHash flowHashOf(const FlowTuple &tuple)
{
    const std::uint64_t addresses = (static_cast<std::uint64_t>(tuple.callerAddress) << 32) | tuple.serviceAddress;
    const std::uint64_t ports = (static_cast<std::uint64_t>(tuple.callerPort) << 32)
        | (static_cast<std::uint64_t>(tuple.servicePort) << 16) | static_cast<std::uint64_t>(tuple.protocol);
    return FlowHash(hashPair(addresses, ports));
}

std::string formatFlowTuple(const FlowTuple &tuple)
{
    return std::string(tuple.protocol == Protocol::Tcp ? "tcp " : "udp ")
        + formatPeerAddress(PeerAddress {tuple.callerAddress, tuple.callerPort}) + ">"
        + formatPeerAddress(PeerAddress {tuple.serviceAddress, tuple.servicePort});
}

wire::FlowTuple toWire(const FlowTuple &tuple)
{
    wire::FlowTuple message;
    message.set_caller_address(tuple.callerAddress);
    message.set_caller_port(tuple.callerPort);
    message.set_service_address(tuple.serviceAddress);
    message.set_service_port(tuple.servicePort);
    message.set_protocol(static_cast<std::uint32_t>(tuple.protocol));
    return message;
}

FlowTuple fromWire(const wire::FlowTuple &tuple)
{
    FlowTuple result;
    result.callerAddress = tuple.caller_address();
    result.callerPort = static_cast<std::uint16_t>(tuple.caller_port());
    result.serviceAddress = tuple.service_address();
    result.servicePort = static_cast<std::uint16_t>(tuple.service_port());
    result.protocol = static_cast<Protocol>(tuple.protocol());
    return result;
}

} // namespace rhubarblane
