#include "daemon/targetlink.h"

#include "wire/ippacket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace rhubarblane
{

namespace
{

constexpr std::size_t MaxDatagramBytes = 65536;
// Bounds the time for which one busy flow delays the others.
constexpr int MaxReadsPerWakeup = 16;

std::string_view targetPayloadOf(const DeliverPacket &action)
{
    if (action.flow.protocol == Protocol::Tcp) {
        return action.packet;
    }
    const auto parsed = parsePacket(action.packet);
    const PacketInfo *info = std::get_if<PacketInfo>(&parsed);
    return info == nullptr ? std::string_view()
                           : std::string_view(action.packet).substr(info->payloadOffset, info->payloadSize);
}

} // namespace

TargetLink::TargetLink(EventLoop &loop, const PeerAddress &target)
    : loop_(loop)
    , target_(target)
    , buffer_(MaxDatagramBytes, '\0')
{
}

TargetLink::~TargetLink()
{
    for (const auto &[number, socket] : sockets_) {
        loop_.remove(socket.descriptor);
        ::close(socket.descriptor);
    }
}

void TargetLink::setHandlers(PacketHandler packetHandler, ClosedHandler closedHandler)
{
    packetHandler_ = std::move(packetHandler);
    closedHandler_ = std::move(closedHandler);
}

void TargetLink::deliver(const DeliverPacket &action)
{
    const auto found = sockets_.find(action.number);
    const int descriptor = found != sockets_.end() ? found->second.descriptor : openSocket(action.flow, action.number);
    if (descriptor < 0) {
        ++counters_.dropped;
        return;
    }
    const std::string_view content = targetPayloadOf(action);
    if (::send(descriptor, content.data(), content.size(), MSG_NOSIGNAL) >= 0) {
        ++counters_.toTarget;
    } else if (errno == ECONNREFUSED) {
        // The kernel reports the error of an earlier datagram of this flow and does not send this one.
        reportRefused(action.flow, action.number);
    } else {
        ++counters_.dropped;
    }
}

void TargetLink::close(const CloseFlow &action)
{
    const auto found = sockets_.find(action.number);
    if (found == sockets_.end()) {
        return;
    }
    loop_.remove(found->second.descriptor);
    ::close(found->second.descriptor);
    sockets_.erase(found);
}

int TargetLink::openSocket(const FlowTuple &flow, FlowNumber number)
{
    const int descriptor = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return -1;
    }
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(target_.address);
    address.sin_port = htons(target_.port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(descriptor);
        return -1;
    }
    sockets_[number] = FlowSocket {flow, descriptor};
    loop_.add(descriptor, [this, number] { receive(number); });
    return descriptor;
}

void TargetLink::receive(FlowNumber number)
{
    for (int i = 0; i < MaxReadsPerWakeup; ++i) {
        // The socket is looked up for each read, because a handler may have closed the flow.
        const auto found = sockets_.find(number);
        if (found == sockets_.end()) {
            return;
        }
        const FlowTuple flow = found->second.flow;
        const ssize_t size = ::recv(found->second.descriptor, buffer_.data(), buffer_.size(), 0);
        if (size < 0) {
            if (errno == ECONNREFUSED) {
                reportRefused(flow, number);
            }
            return;
        }
        ++counters_.fromTarget;
        const std::string_view content(buffer_.data(), static_cast<std::size_t>(size));
        packetHandler_(
            flow, number, flow.protocol == Protocol::Tcp ? std::string(content) : buildUdpReply(flow, content));
    }
}

void TargetLink::reportRefused(const FlowTuple &flow, FlowNumber number)
{
    ++counters_.refused;
    closedHandler_(flow, number);
}

} // namespace rhubarblane
