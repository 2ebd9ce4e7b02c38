#ifndef RHUBARBLANE_STANDINS_ANSWERPACKET_H
#define RHUBARBLANE_STANDINS_ANSWERPACKET_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rhubarblane
{

/** An IP packet that reaches a caller, seen from the caller's side. */
struct AnswerPacket {
    enum class Kind { Udp, Tcp, Unreachable };
    Kind kind = Kind::Udp;
    std::uint32_t serviceAddress = 0;
    std::uint16_t servicePort = 0;
    std::uint16_t callerPort = 0;
    /** ICMP code of an unreachable message. */
    int code = 0;
    std::string payload;
};

/** Parses a UDP, TCP or ICMP unreachable packet; none for anything else. */
std::optional<AnswerPacket> parseAnswerPacket(std::string_view packet);

} // namespace rhubarblane

#endif
