#include "daemon/sealedtransport.h"

#include <utility>

namespace rhubarblane
{

SealedTransport::SealedTransport(UdpSocket socket, DatagramSeal seal)
    : socket_(std::move(socket))
    , seal_(std::move(seal))
{
}

void SealedTransport::onMessage(Receiver receiver)
{
    receiver_ = std::move(receiver);
}

void SealedTransport::send(const PeerAddress &to, const wire::Envelope &message)
{
    message.SerializeToString(&payload_);
    socket_.queue(to, seal_.seal(payload_));
}

bool SealedTransport::receiveBatch()
{
    return socket_.receiveBatch(
        [this](const PeerAddress &from, std::string_view datagram) { handleDatagram(from, datagram); });
}

void SealedTransport::flush()
{
    socket_.flush();
}

void SealedTransport::handleDatagram(const PeerAddress &from, std::string_view datagram)
{
    const std::variant<std::string_view, SealError> opened = seal_.open(datagram);
    if (const SealError *error = std::get_if<SealError>(&opened)) {
        countDrop(*error);
        return;
    }
    const std::string_view payload = std::get<std::string_view>(opened);
    if (!incoming_.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        ++counters_.malformed;
        return;
    }
    receiver_(from, incoming_);
}

void SealedTransport::countDrop(SealError error)
{
    switch (error) {
    case SealError::TooShort:
        ++counters_.tooShort;
        break;
    case SealError::BadTag:
        ++counters_.badTag;
        break;
    case SealError::Replayed:
        ++counters_.replayed;
        break;
    case SealError::StaleIncarnation:
        ++counters_.staleIncarnation;
        break;
    }
}

} // namespace rhubarblane
