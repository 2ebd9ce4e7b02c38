#ifndef RHUBARBLANE_DAEMON_FABRICIO_H
#define RHUBARBLANE_DAEMON_FABRICIO_H

#include "daemon/packetio.h"
#include "runtime/udpsocket.h"

#include <optional>

namespace rhubarblane
{

/** IP packets carried as the payload of UDP datagrams, one packet each. */
class FabricIo : public PacketIo
{
public:
    /** `fabric` is where packets are sent; without it, sent packets are dropped. */
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
