#include "node/relaysockets.h"

#include <utility>

namespace rhubarblane
{

namespace
{

// A log line costs about 10 us, so this bounds logging to a few thousandths of a core for each kind of event.
constexpr std::uint32_t MaxLogLinesPerSecond = 100;
// Bounds the batches read from one socket before the loop serves other descriptors and the tick.
constexpr int MaxBatchesPerWakeup = 4;

} // namespace

RelaySockets::RelaySockets(const NodeSettings &settings, EventLoop &loop)
    : settings_(settings)
    , loop_(loop)
    , log_(MaxLogLinesPerSecond)
{
}

RelaySockets::~RelaySockets()
{
    for (const std::optional<UdpSocket> *socket : {&packets_, &peers_}) {
        if (*socket) {
            loop_.remove((*socket)->descriptor());
        }
    }
}

std::optional<Error> RelaySockets::open(PacketHandler onPacket, MessageHandler onMessage)
{
    onPacket_ = std::move(onPacket);
    onMessage_ = std::move(onMessage);
    Outcome<UdpSocket> packets = UdpSocket::bound(settings_.packets);
    if (!isOk(packets)) {
        return errorOf(packets);
    }
    Outcome<UdpSocket> peers = UdpSocket::bound(settings_.peer);
    if (!isOk(peers)) {
        return errorOf(peers);
    }
    packets_.emplace(takeValue(std::move(packets)));
    peers_.emplace(takeValue(std::move(peers)));
    loop_.add(packets_->descriptor(), [this] { receivePackets(); });
    loop_.add(peers_->descriptor(), [this] { receiveMessages(); });
    return std::nullopt;
}

void RelaySockets::receivePackets()
{
    for (int batch = 0; batch < MaxBatchesPerWakeup; ++batch) {
        if (!packets_->receiveBatch([this](const PeerAddress &, std::string_view packet) { onPacket_(packet); })) {
            break;
        }
    }
    flush();
}

void RelaySockets::receiveMessages()
{
    const auto receive = [this](const PeerAddress &from, std::string_view datagram) {
        wire::relay::Message message;
        if (message.ParseFromArray(datagram.data(), static_cast<int>(datagram.size()))) {
            onMessage_(from, message);
        } else {
            ++malformedMessages_;
        }
    };
    for (int batch = 0; batch < MaxBatchesPerWakeup; ++batch) {
        const Timestamp started = loop_.now();
        if (!peers_->receiveBatch(receive)) {
            messagesReadUntil_ = started;
            break;
        }
    }
    flush();
}

void RelaySockets::sendToPeer(const PeerAddress &peer, const wire::relay::Message &message)
{
    peers_->queue(peer, message.SerializeAsString());
}

void RelaySockets::sendToTarget(std::string packet)
{
    packets_->queue(settings_.target, std::move(packet));
}

void RelaySockets::sendToCaller(std::uint32_t callerAddress, std::string packet)
{
    packets_->queue(PeerAddress {callerAddress, settings_.callerPort}, std::move(packet));
}

void RelaySockets::logDecision(std::string_view event, DecisionFields fields)
{
    log_.log(loop_.now(), LogLevel::Info, std::string(event), fields);
}

void RelaySockets::flush()
{
    packets_->flush();
    peers_->flush();
}

UdpSocketCounters RelaySockets::packetCounters() const
{
    return packets_ ? packets_->counters() : UdpSocketCounters();
}

UdpSocketCounters RelaySockets::peerCounters() const
{
    return peers_ ? peers_->counters() : UdpSocketCounters();
}

} // namespace rhubarblane
