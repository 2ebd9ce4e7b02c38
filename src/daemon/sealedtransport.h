#ifndef RHUBARBLANE_DAEMON_SEALEDTRANSPORT_H
#define RHUBARBLANE_DAEMON_SEALEDTRANSPORT_H

#include "daemon/peertransport.h"
#include "runtime/udpsocket.h"
#include "wire/datagramseal.h"

#include <cstdint>
#include <string>

namespace rhubarblane
{

/** Numbers of dropped datagrams by reason. */
struct SealedTransportCounters {
    std::uint64_t tooShort = 0;
    std::uint64_t badTag = 0;
    std::uint64_t replayed = 0;
    std::uint64_t staleIncarnation = 0;
    std::uint64_t malformed = 0;
};

/** Sends and receives sealed protobuf messages on one UDP socket. */
class SealedTransport : public PeerTransport
{
public:
    SealedTransport(UdpSocket socket, DatagramSeal seal);

    void onMessage(Receiver receiver) override;
    void send(const PeerAddress &to, const wire::Envelope &message) override;

    bool receiveBatch();
    void flush();

    const UdpSocket &socket() const
    {
        return socket_;
    }
    const SealedTransportCounters &counters() const
    {
        return counters_;
    }

private:
    void handleDatagram(const PeerAddress &from, std::string_view datagram);
    void countDrop(SealError error);

    UdpSocket socket_;
    DatagramSeal seal_;
    Receiver receiver_;
    SealedTransportCounters counters_;
    // Reused for all messages, so that parsing allocates memory only for a message larger than all before it.
    wire::Envelope incoming_;
    std::string payload_;
};

} // namespace rhubarblane

#endif
