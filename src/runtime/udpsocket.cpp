#include "runtime/udpsocket.h"

#include <arpa/inet.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

namespace rhubarblane
{

namespace
{

constexpr std::size_t BatchSize = 64;
constexpr std::size_t MaxDatagramBytes = 65536;
// Holds a burst of 5 ms at 100,000 packets of 1 KB per second, the rate at which one process nears saturation.
constexpr int BufferBytes = 4 * 1024 * 1024;

sockaddr_in toSocket(const PeerAddress &address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_addr.s_addr = htonl(address.address);
    result.sin_port = htons(address.port);
    return result;
}

PeerAddress fromSocket(const sockaddr_in &address)
{
    return PeerAddress {ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

} // namespace

Outcome<UdpSocket> UdpSocket::bound(const PeerAddress &local)
{
    const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return Error {ErrorCode::Unavailable, {}, std::string("no UDP socket: ") + std::strerror(errno)};
    }
    UdpSocket result(descriptor);
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &BufferBytes, sizeof(BufferBytes));
    setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &BufferBytes, sizeof(BufferBytes));
    const sockaddr_in address = toSocket(local);
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        return Error {
            ErrorCode::Unavailable, {}, "cannot bind " + formatPeerAddress(local) + ": " + std::strerror(errno)};
    }
    return result;
}

UdpSocket::UdpSocket(int descriptor)
    : descriptor_(descriptor)
    , buffer_(new char[BatchSize * MaxDatagramBytes])
    , outgoing_(BatchSize)
{
}

UdpSocket::UdpSocket(UdpSocket &&other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1))
    , buffer_(std::move(other.buffer_))
    , outgoing_(std::move(other.outgoing_))
    , queued_(std::exchange(other.queued_, 0))
    , counters_(other.counters_)
{
}

UdpSocket &UdpSocket::operator=(UdpSocket &&other) noexcept
{
    std::swap(descriptor_, other.descriptor_);
    std::swap(buffer_, other.buffer_);
    std::swap(outgoing_, other.outgoing_);
    std::swap(queued_, other.queued_);
    std::swap(counters_, other.counters_);
    return *this;
}

UdpSocket::~UdpSocket()
{
    if (descriptor_ >= 0) {
        close(descriptor_);
    }
}

PeerAddress UdpSocket::localAddress() const
{
    sockaddr_in address {};
    socklen_t length = sizeof(address);
    getsockname(descriptor_, reinterpret_cast<sockaddr *>(&address), &length);
    return fromSocket(address);
}

bool UdpSocket::receiveBatch(const Receiver &receiver)
{
    std::array<mmsghdr, BatchSize> messages {};
    std::array<iovec, BatchSize> vectors {};
    std::array<sockaddr_in, BatchSize> senders {};
    for (std::size_t i = 0; i < BatchSize; ++i) {
        vectors[i].iov_base = buffer_.get() + i * MaxDatagramBytes;
        vectors[i].iov_len = MaxDatagramBytes;
        messages[i].msg_hdr.msg_iov = &vectors[i];
        messages[i].msg_hdr.msg_iovlen = 1;
        messages[i].msg_hdr.msg_name = &senders[i];
        messages[i].msg_hdr.msg_namelen = sizeof(senders[i]);
    }
    const int count = recvmmsg(descriptor_, messages.data(), BatchSize, MSG_DONTWAIT, nullptr);
    for (int i = 0; i < count; ++i) {
        const auto index = static_cast<std::size_t>(i);
        ++counters_.received;
        receiver(fromSocket(senders[index]),
                 std::string_view(static_cast<const char *>(vectors[index].iov_base), messages[index].msg_len));
    }
    return count == static_cast<int>(BatchSize);
}

void UdpSocket::queue(const PeerAddress &to, std::string datagram)
{
    Outgoing &slot = outgoing_[queued_++];
    slot.to = toSocket(to);
    slot.datagram = std::move(datagram);
    if (queued_ == BatchSize) {
        flush();
    }
}

void UdpSocket::flush()
{
    if (queued_ == 0) {
        return;
    }
    std::array<mmsghdr, BatchSize> messages {};
    std::array<iovec, BatchSize> vectors {};
    for (std::size_t i = 0; i < queued_; ++i) {
        vectors[i].iov_base = outgoing_[i].datagram.data();
        vectors[i].iov_len = outgoing_[i].datagram.size();
        messages[i].msg_hdr.msg_iov = &vectors[i];
        messages[i].msg_hdr.msg_iovlen = 1;
        messages[i].msg_hdr.msg_name = &outgoing_[i].to;
        messages[i].msg_hdr.msg_namelen = sizeof(outgoing_[i].to);
    }
    std::size_t done = 0;
    while (done < queued_) {
        const int sent = sendmmsg(descriptor_, messages.data() + done, static_cast<unsigned>(queued_ - done), 0);
        if (sent > 0) {
            counters_.sent += static_cast<std::uint64_t>(sent);
            done += static_cast<std::size_t>(sent);
        } else {
            // The error concerns the first unsent datagram; later ones may have other destinations.
            ++counters_.sendErrors;
            ++done;
        }
    }
    queued_ = 0;
}

} // namespace rhubarblane
