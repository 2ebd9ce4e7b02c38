#include "tests/relaysimulation.h"

#include <cstddef>
#include <cstdint>

using namespace rhubarblane;

/** Passes arbitrary messages and packets to a balancer and an agent that know each other. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const PlainPacketFormat format;
    RecordedOutput output;
    Timestamp now(1000);
    const Peer self = relayPeer("balancer-1", PeerRole::Balancer, 1);
    const Peer agentPeer = relayPeer("agent-1", PeerRole::Agent, 2);
    RelayBalancer balancer({self, {}, 8, 1}, now, format, output);
    RelayAgent agent({agentPeer, "desk", Milliseconds(1000), {}}, now, format, output);
    balancer.onTable(now, relayTable(1), "fuzz");
    agent.onStorePeers(now, {self});
    agent.onTargetReport(now, {"desk-1", "desk", 1, 1, 2, false});
    balancer.onStorePeers(now, {agentPeer}, LeaseHistory::Kept);

    // Each input is a sequence of chunks: a length and that many bytes of a message or packet.
    std::size_t position = 0;
    while (position < size) {
        const std::size_t length = std::min<std::size_t>(data[position], size - position - 1);
        const std::string chunk(reinterpret_cast<const char *>(data) + position + 1, length);
        position += length + 1;
        now = now + Milliseconds(static_cast<std::int64_t>(length));
        wire::relay::Message message;
        if (message.ParseFromString(chunk)) {
            balancer.onPeerMessage(now, agentPeer.address, message);
            agent.onPeerMessage(now, self.address, message);
        }
        std::string packet = chunk;
        packet.resize(sizeof(PlainPacketFormat::Bytes));
        // The flags are the last bytes of the packet; values other than 0 and 1 are not valid for a bool.
        for (std::size_t i = packet.size() - 8; i < packet.size(); ++i) {
            packet[i] = static_cast<char>(packet[i] & 1);
        }
        balancer.onCallerPacket(now, packet);
        agent.onTargetPacket(now, packet);
        balancer.onTick(now);
        agent.onTick(now);
        for (const auto &[peer, sent] : std::vector(output.toPeers)) {
            if (peer == self.address) {
                balancer.onPeerMessage(now, agentPeer.address, sent);
            } else {
                agent.onPeerMessage(now, self.address, sent);
            }
        }
        output.clear();
    }
    return 0;
}
