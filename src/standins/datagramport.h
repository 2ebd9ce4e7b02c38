#ifndef RHUBARBLANE_STANDINS_DATAGRAMPORT_H
#define RHUBARBLANE_STANDINS_DATAGRAMPORT_H

#include "wire/peeraddress.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace rhubarblane
{

/** A UDP socket that passes each received datagram to a handler. */
class DatagramPort
{
public:
    using Handler = std::function<void(const PeerAddress &from, std::string_view datagram)>;

    /** Binds the address; port 0 selects a free port. Throws boost::system::system_error if this fails. */
    DatagramPort(boost::asio::io_context &context, const PeerAddress &listen, Handler handler);

    void send(const PeerAddress &to, std::string_view datagram);

    PeerAddress localAddress() const;

private:
    void receiveNext();

    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint sender_;
    std::string buffer_;
    Handler handler_;
};

} // namespace rhubarblane

#endif
