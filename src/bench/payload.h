#ifndef RHUBARBLANE_BENCH_PAYLOAD_H
#define RHUBARBLANE_BENCH_PAYLOAD_H

#include "wire/ippacket.h"

#include <cstdint>
#include <optional>
#include <string>

namespace rhubarblane
{

/** What a simulated packet carries. */
struct Payload {
    enum class Kind : std::uint32_t { Request, StreamOpen, StreamData, Flood };
    std::uint64_t id = 0;
    std::uint32_t service = 0;
    Kind kind = Kind::Request;
    /** Tells the packets of one stream apart. */
    std::uint64_t sequence = 0;
};

/** A packet of the caller of a flow; one that opens a TCP flow is a SYN. */
std::string buildCallerPacket(const FlowTuple &flow, const Payload &payload);

/** The target's answer, with the same payload. */
std::string buildAnswer(const FlowTuple &flow, const Payload &payload);

std::optional<Payload> payloadOf(const std::string &packet, const PacketInfo &info);

} // namespace rhubarblane

#endif
