#include "wire/peeraddress.h"

#include <arpa/inet.h>

#include <charconv>

namespace rhubarblane
{

Outcome<std::uint32_t> parseIpv4(const std::string &text)
{
    in_addr parsed {};
    if (inet_pton(AF_INET, text.c_str(), &parsed) != 1) {
        return Error {ErrorCode::InvalidArgument, {}, "'" + text + "' is not an IPv4 address"};
    }
    return static_cast<std::uint32_t>(ntohl(parsed.s_addr));
}

Outcome<PeerAddress> parsePeerAddress(const std::string &text)
{
    const std::size_t colon = text.find(':');
    if (colon == std::string::npos) {
        return Error {ErrorCode::InvalidArgument, {}, "'" + text + "' is not address:port"};
    }
    const Outcome<std::uint32_t> address = parseIpv4(text.substr(0, colon));
    if (!isOk(address)) {
        return errorOf(address);
    }
    std::uint16_t port = 0;
    const char *begin = text.data() + colon + 1;
    const char *end = text.data() + text.size();
    const std::from_chars_result result = std::from_chars(begin, end, port);
    if (result.ec != std::errc() || result.ptr != end || port == 0) {
        return Error {ErrorCode::InvalidArgument, {}, "'" + text + "' has no port from 1 to 65535"};
    }
    return PeerAddress {valueOf(address), port};
}

std::string formatIpv4(std::uint32_t address)
{
    in_addr raw {};
    raw.s_addr = htonl(address);
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &raw, text, sizeof(text));
    return text;
}

std::string formatPeerAddress(const PeerAddress &address)
{
    return formatIpv4(address.address) + ":" + std::to_string(address.port);
}

wire::PeerAddress toWire(const PeerAddress &address)
{
    wire::PeerAddress message;
    message.set_address(address.address);
    message.set_port(address.port);
    return message;
}

PeerAddress fromWire(const wire::PeerAddress &address)
{
    return PeerAddress {address.address(), static_cast<std::uint16_t>(address.port())};
}

} // namespace rhubarblane
