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

/** The sockets of a relay process: one for packets of callers or of the target, one for messages of peers. */
class RelaySockets : public RelayOutput
{
public:
    using PacketHandler = std::function<void(std::string_view packet)>;
    using MessageHandler = std::function<void(const PeerAddress &from, const wire::relay::Message &message)>;

    /** `settings` and `loop` must outlive the sockets. */
    RelaySockets(const NodeSettings &settings, EventLoop &loop);
    ~RelaySockets() override;
    RelaySockets(const RelaySockets &) = delete;
    RelaySockets &operator=(const RelaySockets &) = delete;

    /** Binds both sockets and starts to receive. Returns Unavailable if an address cannot be bound. */
    std::optional<Error> open(PacketHandler onPacket, MessageHandler onMessage);

    void sendToPeer(const PeerAddress &peer, const wire::relay::Message &message) override;
    void sendToTarget(std::string packet) override;
    void sendToCaller(std::uint32_t callerAddress, std::string packet) override;
    void logDecision(std::string_view event, DecisionFields fields) override;

    /** Sends all queued packets and messages. */
    void flush();

    /** Handles the messages of peers that are waiting in the socket, up to a bounded number of batches. */
    void receiveMessages();

    /** Returns the time before which all received messages of peers have been handled. */
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
