#ifndef RHUBARBLANE_NODE_RELAYSOCKETS_H
#define RHUBARBLANE_NODE_RELAYSOCKETS_H

#include "node/nodesettings.h"
#include "relay/relayoutput.h"
#include "runtime/eventloop.h"
#include "runtime/logs.h"
#include "runtime/udpsocket.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace rhubarblane
{

/** The sockets of a relay process: one for packets of callers or the target, one for messages of peers. */
class RelaySockets : public RelayOutput
{
public:
    using PacketHandler = std::function<void(std::string_view packet)>;
    using MessageHandler = std::function<void(const PeerAddress &from, const wire::relay::Message &message)>;

    /** `loop` must outlive the sockets. Fails with Unavailable if an address is in use. */
    RelaySockets(const NodeSettings &settings, EventLoop &loop);
    ~RelaySockets() override;
    RelaySockets(const RelaySockets &) = delete;
    RelaySockets &operator=(const RelaySockets &) = delete;

    std::optional<Error> open(PacketHandler onPacket, MessageHandler onMessage);

    void sendToPeer(const PeerAddress &peer, const wire::relay::Message &message) override;
    void sendToTarget(std::string packet) override;
    void sendToCaller(std::uint32_t callerAddress, std::string packet) override;
    void logDecision(std::string_view event, DecisionFields fields) override;

    /** Sends what was queued since the last call. */
    void flush();

    /** Handles messages of peers that wait to be read. */
    void receiveMessages();

    /** All messages of peers that arrived before this time have been handled. */
    Timestamp messagesReadUntil() const
    {
        return messagesReadUntil_;
    }

    std::uint64_t malformedMessages() const
    {
        return malformedMessages_;
    }
    UdpSocketCounters packetCounters() const;
    UdpSocketCounters peerCounters() const;

private:
    void receivePackets();

    const NodeSettings &settings_;
    EventLoop &loop_;
    std::optional<UdpSocket> packets_;
    std::optional<UdpSocket> peers_;
    PacketHandler onPacket_;
    MessageHandler onMessage_;
    RateLimitedLog log_;
    Timestamp messagesReadUntil_;
    std::uint64_t malformedMessages_ = 0;
};

} // namespace rhubarblane

#endif
