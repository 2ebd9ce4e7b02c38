#ifndef RHUBARBLANE_DAEMON_PACKETIO_H
#define RHUBARBLANE_DAEMON_PACKETIO_H

#include "base/clock.h"

#include <functional>
#include <string>
#include <string_view>

namespace rhubarblane
{

/** Interface that exchanges IP packets with the fabric. */
class PacketIo
{
public:
    using Receiver = std::function<void(std::string_view packet)>;

    virtual ~PacketIo() = default;

    /** Sets the receiver of incoming packets; its view is valid only during the call. */
    virtual void onPacket(Receiver receiver) = 0;

    virtual void sendPacket(std::string packet) = 0;
};

} // namespace rhubarblane

#endif
