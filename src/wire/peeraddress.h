#ifndef RHUBARBLANE_WIRE_PEERADDRESS_H
#define RHUBARBLANE_WIRE_PEERADDRESS_H

#include "base/outcome.h"
#include "wire/generated/rhubarblane.pb.h"

#include <cstdint>
#include <string>

namespace rhubarblane
{

/** An IPv4 address and port, both in host byte order. */
struct PeerAddress {
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    friend bool operator==(const PeerAddress &a, const PeerAddress &b)
    {
        return a.address == b.address && a.port == b.port;
    }
    friend bool operator!=(const PeerAddress &a, const PeerAddress &b)
    {
        return !(a == b);
    }
    friend bool operator<(const PeerAddress &a, const PeerAddress &b)
    {
        return a.address != b.address ? a.address < b.address : a.port < b.port;
    }
};

/** Parses "a.b.c.d:port". Fails with InvalidArgument. */
Outcome<PeerAddress> parsePeerAddress(const std::string &text);

/** Parses a dotted IPv4 address. Fails with InvalidArgument. */
Outcome<std::uint32_t> parseIpv4(const std::string &text);

std::string formatIpv4(std::uint32_t address);
std::string formatPeerAddress(const PeerAddress &address);

wire::PeerAddress toWire(const PeerAddress &address);
PeerAddress fromWire(const wire::PeerAddress &address);

} // namespace rhubarblane

#endif
