#ifndef RHUBARBLANE_DAEMON_PACKETIO_H
#define RHUBARBLANE_DAEMON_PACKETIO_H

#include "base/clock.h"

#include <functional>
#include <string>
#include <string_view>

namespace rhubarblane
{

/** IP packets from and to the fabric. */
class PacketIo
{
public:
    using Receiver = std::function<void(std::string_view packet)>;

    virtual ~PacketIo() = default;

    /** Called for each packet that arrives; the view is valid during the call only. */
    virtual void onPacket(Receiver receiver) = 0;

    virtual void sendPacket(std::string packet) = 0;
};

} // namespace rhubarblane

#endif
