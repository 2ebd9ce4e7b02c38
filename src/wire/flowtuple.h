#ifndef RHUBARBLANE_WIRE_FLOWTUPLE_H
#define RHUBARBLANE_WIRE_FLOWTUPLE_H

#include "base/ids.h"
#include "wire/generated/rhubarblane.pb.h"

#include <cstdint>
#include <string>

namespace rhubarblane
{

enum class Protocol : std::uint8_t {
    Tcp = 6,
    Udp = 17,
};

/** The 5-tuple that identifies a flow, in the direction from caller to service; addresses are in host byte order. */
struct FlowTuple {
    std::uint32_t callerAddress = 0;
    std::uint32_t serviceAddress = 0;
    std::uint16_t callerPort = 0;
    std::uint16_t servicePort = 0;
    Protocol protocol = Protocol::Udp;

    friend bool operator==(const FlowTuple &a, const FlowTuple &b)
    {
        return a.callerAddress == b.callerAddress && a.serviceAddress == b.serviceAddress
            && a.callerPort == b.callerPort && a.servicePort == b.servicePort && a.protocol == b.protocol;
    }
    friend bool operator!=(const FlowTuple &a, const FlowTuple &b)
    {
        return !(a == b);
    }
};

FlowHash flowHashOf(const FlowTuple &tuple);
std::string formatFlowTuple(const FlowTuple &tuple);
wire::FlowTuple toWire(const FlowTuple &tuple);
FlowTuple fromWire(const wire::FlowTuple &tuple);

} // namespace rhubarblane

template<>
struct std::hash<rhubarblane::FlowTuple> {
    std::size_t operator()(const rhubarblane::FlowTuple &tuple) const noexcept
    {
        return rhubarblane::flowHashOf(tuple).value();
    }
};

#endif
