#ifndef RHUBARBLANE_DAEMON_PEERTRANSPORT_H
#define RHUBARBLANE_DAEMON_PEERTRANSPORT_H

#include "wire/peeraddress.h"

#include <functional>

namespace rhubarblane
{

/** Interface that exchanges authenticated datagrams between the processes of one deployment. */
class PeerTransport
{
public:
    using Receiver = std::function<void(const PeerAddress &from, const wire::Envelope &message)>;

    virtual ~PeerTransport() = default;

    /** Sets the receiver, which is called for each authentic message that is not a replay. */
    virtual void onMessage(Receiver receiver) = 0;

    virtual void send(const PeerAddress &to, const wire::Envelope &message) = 0;
};

} // namespace rhubarblane

#endif
