#include "standins/datagramport.h"

#include <boost/asio/buffer.hpp>

#include <utility>

namespace rhubarblane
{

namespace
{

using boost::asio::ip::udp;

constexpr std::size_t LargestDatagram = 65536;
constexpr int BufferBytes = 4 * 1024 * 1024;

udp::endpoint toEndpoint(const PeerAddress &address)
{
    return {boost::asio::ip::address_v4(address.address), address.port};
}

PeerAddress fromEndpoint(const udp::endpoint &endpoint)
{
    return PeerAddress {endpoint.address().to_v4().to_uint(), endpoint.port()};
}

} // namespace

DatagramPort::DatagramPort(boost::asio::io_context &context, const PeerAddress &listen, Handler handler)
    : socket_(context, toEndpoint(listen))
    , buffer_(LargestDatagram, '\0')
    , handler_(std::move(handler))
{
    boost::system::error_code ignored;
    socket_.set_option(udp::socket::receive_buffer_size(BufferBytes), ignored);
    socket_.set_option(udp::socket::send_buffer_size(BufferBytes), ignored);
    socket_.non_blocking(true);
    receiveNext();
}

void DatagramPort::send(const PeerAddress &to, std::string_view datagram)
{
    boost::system::error_code ignored;
    socket_.send_to(boost::asio::buffer(datagram.data(), datagram.size()), toEndpoint(to), 0, ignored);
}

PeerAddress DatagramPort::localAddress() const
{
    return fromEndpoint(socket_.local_endpoint());
}

void DatagramPort::receiveNext()
{
    socket_.async_receive_from(
        boost::asio::buffer(buffer_), sender_, [this](const boost::system::error_code &error, std::size_t size) {
            if (error == boost::asio::error::operation_aborted) {
                return;
            }
            if (!error) {
                handler_(fromEndpoint(sender_), std::string_view(buffer_.data(), size));
            }
            receiveNext();
        });
}

} // namespace rhubarblane
