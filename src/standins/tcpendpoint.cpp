#include "standins/tcpendpoint.h"

#include "wire/ippacket.h"

#include <tins/ip.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>

#include <utility>

namespace rhubarblane
{

namespace
{

constexpr Milliseconds RepeatAfter(200);
constexpr std::uint16_t Window = 65535;
constexpr std::size_t LargestSegment = 1400;

Tins::IPv4Address toTins(std::uint32_t address)
{
    return Tins::IPv4Address(Tins::Endian::host_to_be(address));
}

} // namespace

TcpEndpoint::TcpEndpoint(std::uint32_t localAddress,
                         std::uint16_t localPort,
                         std::uint32_t remoteAddress,
                         std::uint16_t remotePort,
                         std::uint32_t initialSequence,
                         Sender sender,
                         Reader reader)
    : localAddress_(localAddress)
    , localPort_(localPort)
    , remoteAddress_(remoteAddress)
    , remotePort_(remotePort)
    , sender_(std::move(sender))
    , reader_(std::move(reader))
    , sendNext_(initialSequence)
{
}

void TcpEndpoint::open(Timestamp now)
{
    state_ = State::Opening;
    segments_.push_front({Tins::TCP::SYN, {}});
    sendFirst(now);
}

void TcpEndpoint::write(Timestamp now, std::string_view bytes)
{
    for (std::size_t offset = 0; offset < bytes.size(); offset += LargestSegment) {
        queueSegment(now, {Tins::TCP::PSH, std::string(bytes.substr(offset, LargestSegment))});
    }
}

void TcpEndpoint::close(Timestamp now)
{
    if (!std::exchange(finQueued_, true)) {
        queueSegment(now, {Tins::TCP::FIN, {}});
    }
}

void TcpEndpoint::handlePacket(Timestamp now, std::string_view packet)
{
    const auto parsed = parsePacket(packet);
    const PacketInfo *info = std::get_if<PacketInfo>(&parsed);
    if (info == nullptr || info->flow.protocol != Protocol::Tcp) {
        return;
    }
    if (info->reset) {
        state_ = State::Reset;
        segments_.clear();
        return;
    }
    if (info->syn) {
        if (!std::exchange(synReceived_, true)) {
            receiveNext_ = info->sequence + 1;
            if (state_ == State::Closed) {
                open(now);
            }
        }
        if (info->ack) {
            handleAcknowledgement(now, info->acknowledgement);
            acknowledge();
        }
        return;
    }
    if (info->ack) {
        handleAcknowledgement(now, info->acknowledgement);
    }
    const bool hasContent = info->payloadSize > 0 || info->fin;
    if (!hasContent || !synReceived_) {
        return;
    }
    if (info->sequence == receiveNext_ && !finReceived_) {
        receiveNext_ += static_cast<std::uint32_t>(info->payloadSize) + (info->fin ? 1 : 0);
        finReceived_ = info->fin;
        acknowledge();
        if (info->payloadSize > 0) {
            reader_(packet.substr(info->payloadOffset, info->payloadSize));
        }
        if (finReceived_) {
            state_ = State::Closing;
            close(now);
        }
    } else {
        acknowledge();
    }
    if (finReceived_ && finQueued_ && segments_.empty()) {
        state_ = State::Finished;
    }
}

void TcpEndpoint::tick(Timestamp now)
{
    if (state_ != State::Closed && !segments_.empty() && now - sentAt_ >= RepeatAfter) {
        sendFirst(now);
    }
}

std::uint32_t TcpEndpoint::lengthOf(const Segment &segment)
{
    const bool hasFlag = (segment.flags & (Tins::TCP::SYN | Tins::TCP::FIN)) != 0;
    return static_cast<std::uint32_t>(segment.payload.size()) + (hasFlag ? 1 : 0);
}

void TcpEndpoint::queueSegment(Timestamp now, Segment segment)
{
    if (state_ == State::Reset) {
        return;
    }
    segments_.push_back(std::move(segment));
    // Segments are sent only after the SYN.
    if (segments_.size() == 1 && state_ != State::Closed) {
        sendFirst(now);
    }
}

void TcpEndpoint::sendFirst(Timestamp now)
{
    sentAt_ = now;
    const Segment &segment = segments_.front();
    const std::uint16_t ack = synReceived_ ? Tins::TCP::ACK : 0;
    emit(static_cast<std::uint16_t>(segment.flags | ack), sendNext_, segment.payload);
}

void TcpEndpoint::emit(std::uint16_t flags, std::uint32_t sequence, const std::string &payload)
{
    Tins::TCP tcp(remotePort_, localPort_);
    tcp.flags(flags);
    tcp.seq(sequence);
    tcp.ack_seq(synReceived_ ? receiveNext_ : 0);
    tcp.window(Window);
    Tins::IP ip = Tins::IP(toTins(remoteAddress_), toTins(localAddress_)) / tcp;
    ip.ttl(64);
    if (!payload.empty()) {
        ip = ip / Tins::RawPDU(payload);
    }
    const Tins::PDU::serialization_type bytes = ip.serialize();
    sender_(std::string(bytes.begin(), bytes.end()));
}

void TcpEndpoint::acknowledge()
{
    emit(Tins::TCP::ACK, sendNext_, {});
}

void TcpEndpoint::handleAcknowledgement(Timestamp now, std::uint32_t number)
{
    if (segments_.empty() || number != sendNext_ + lengthOf(segments_.front())) {
        return;
    }
    const std::uint16_t flags = segments_.front().flags;
    sendNext_ = number;
    segments_.pop_front();
    if ((flags & Tins::TCP::SYN) != 0) {
        state_ = State::Established;
        established_ = true;
    }
    if ((flags & Tins::TCP::FIN) != 0) {
        state_ = finReceived_ ? State::Finished : State::Closing;
    }
    if (!segments_.empty()) {
        sendFirst(now);
    }
}

} // namespace rhubarblane
