#ifndef RHUBARBLANE_STANDINS_ANSWERPACKET_H
#define RHUBARBLANE_STANDINS_ANSWERPACKET_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rhubarblane
{

/** An IP packet sent to a caller, with addresses named from the caller's point of view. */
struct AnswerPacket {
    enum class Kind { Udp, Tcp, Unreachable };
    Kind kind = Kind::Udp;
    std::uint32_t serviceAddress = 0;
    std::uint16_t servicePort = 0;
    std::uint16_t callerPort = 0;
    /** Code of an ICMP destination unreachable message. */
    int code = 0;
    std::string payload;
};

/** Parses a UDP, TCP or ICMP unreachable packet. Returns none for any other packet. */
std::optional<AnswerPacket> parseAnswerPacket(std::string_view packet);

} // namespace rhubarblane

#endif
