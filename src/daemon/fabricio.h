#ifndef RHUBARBLANE_DAEMON_FABRICIO_H
#define RHUBARBLANE_DAEMON_FABRICIO_H

#include "daemon/packetio.h"
#include "runtime/udpsocket.h"

#include <optional>

namespace rhubarblane
{

/** Exchanges IP packets with the fabric as payloads of UDP datagrams, one packet per datagram. */
class FabricIo : public PacketIo
{
public:
    /** Packets are sent to `fabric`; without an address they are dropped. */
    FabricIo(UdpSocket socket, std::optional<PeerAddress> fabric);

    void onPacket(Receiver receiver) override;
    void sendPacket(std::string packet) override;

    bool receiveBatch();
    void flush();

    const UdpSocket &socket() const
    {
        return socket_;
    }

private:
    UdpSocket socket_;
    std::optional<PeerAddress> fabricAddress_;
    Receiver receiver_;
};

} // namespace rhubarblane

#endif
