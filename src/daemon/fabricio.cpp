#include "daemon/fabricio.h"

#include <utility>

namespace rhubarblane
{

FabricIo::FabricIo(UdpSocket socket, std::optional<PeerAddress> fabric)
    : socket_(std::move(socket))
    , fabricAddress_(fabric)
{
}

void FabricIo::onPacket(Receiver receiver)
{
    receiver_ = std::move(receiver);
}

void FabricIo::sendPacket(std::string packet)
{
    if (fabricAddress_) {
        socket_.queue(*fabricAddress_, std::move(packet));
    }
}

bool FabricIo::receiveBatch()
{
    return socket_.receiveBatch([this](const PeerAddress &, std::string_view packet) { receiver_(packet); });
}

void FabricIo::flush()
{
    socket_.flush();
}

} // namespace rhubarblane
