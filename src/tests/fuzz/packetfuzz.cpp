// libFuzzer target: parses any bytes as an IP packet and builds the refusals for it.
#include "wire/ippacket.h"

#include <cstdlib>

using namespace rhubarblane;

namespace
{

void parse(const std::string &packet)
{
    const auto parsed = parsePacket(packet);
    if (const PacketInfo *info = std::get_if<PacketInfo>(&parsed)) {
        if (info->payloadOffset + info->payloadSize > packet.size()) {
            std::abort();
        }
        buildRefusal(packet, *info, Refusal::NotRun);
        buildRefusal(packet, *info, Refusal::Unknown);
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string input(reinterpret_cast<const char *>(data), size);
    parse(input);
    // A valid packet with replaced bytes passes the first checks far more often than arbitrary bytes.
    std::string changed = buildUdpRequest(FlowTuple {1, 2, 3, 4, Protocol::Udp}, input);
    for (std::size_t i = 0; i + 1 < size; i += 2) {
        changed[data[i] % changed.size()] = input[i + 1];
    }
    parse(changed);
    return 0;
}
