#ifndef RHUBARBLANE_BENCH_PAYLOAD_H
#define RHUBARBLANE_BENCH_PAYLOAD_H

#include "wire/ippacket.h"

#include <cstdint>
#include <optional>
#include <string>

namespace rhubarblane
{

/** Content of a simulated packet. */
struct Payload {
    enum class Kind : std::uint32_t { Request, StreamOpen, StreamData, Flood };
    std::uint64_t id = 0;
    std::uint32_t service = 0;
    Kind kind = Kind::Request;
    /** Distinguishes the packets of one stream. */
    std::uint64_t sequence = 0;
};

/** Builds a packet from the caller of a flow. A packet that opens a TCP flow is a SYN. */
std::string buildCallerPacket(const FlowTuple &flow, const Payload &payload);

/** Builds the target's answer, which carries the same payload. */
std::string buildAnswer(const FlowTuple &flow, const Payload &payload);

std::optional<Payload> payloadOf(const std::string &packet, const PacketInfo &info);

} // namespace rhubarblane

#endif
