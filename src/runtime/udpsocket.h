#ifndef RHUBARBLANE_RUNTIME_UDPSOCKET_H
#define RHUBARBLANE_RUNTIME_UDPSOCKET_H

#include "base/outcome.h"
#include "wire/peeraddress.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarblane
{

/** Numbers of datagrams since the creation of the socket. */
struct UdpSocketCounters {
    std::uint64_t received = 0;
    std::uint64_t sent = 0;
    /** Datagrams that the kernel rejected. */
    std::uint64_t sendErrors = 0;
};

/** A non-blocking UDP socket that receives and sends in batches. */
class UdpSocket
{
public:
    using Receiver = std::function<void(const PeerAddress &from, std::string_view datagram)>;

    /** Creates a socket bound to `local`; port 0 selects a free port. Returns Unavailable if the bind fails. */
    static Outcome<UdpSocket> bound(const PeerAddress &local);

    UdpSocket(UdpSocket &&other) noexcept;
    UdpSocket &operator=(UdpSocket &&other) noexcept;
    UdpSocket(const UdpSocket &) = delete;
    UdpSocket &operator=(const UdpSocket &) = delete;
    ~UdpSocket();

    int descriptor() const
    {
        return descriptor_;
    }
    PeerAddress localAddress() const;

    /** Receives at most one batch of datagrams. Returns true if more may be waiting. */
    bool receiveBatch(const Receiver &receiver);

    /** Appends a datagram to the current batch and sends the batch when it is full. */
    void queue(const PeerAddress &to, std::string datagram);

    /** Sends all queued datagrams. Those that the kernel rejects are dropped and counted. */
    void flush();

    const UdpSocketCounters &counters() const
    {
        return counters_;
    }

private:
    explicit UdpSocket(int descriptor);

    struct Outgoing {
        sockaddr_in to {};
        std::string datagram;
    };

    int descriptor_ = -1;
    /** Left uninitialized, because most datagrams touch only the first page of their slot. */
    std::unique_ptr<char[]> buffer_;
    std::vector<Outgoing> outgoing_;
    std::size_t queued_ = 0;
    UdpSocketCounters counters_;
};

} // namespace rhubarblane

#endif
