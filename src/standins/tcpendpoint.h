#ifndef RHUBARBLANE_STANDINS_TCPENDPOINT_H
#define RHUBARBLANE_STANDINS_TCPENDPOINT_H

#include "base/clock.h"
#include "wire/flowtuple.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>

namespace rhubarblane
{

/**
 * One end of a TCP connection whose segments are IP packets built by libtins. It sends one segment at a time and
 * retransmits it until it is acknowledged, which is enough to check that a load balancer keeps connections intact.
 */
class TcpEndpoint
{
public:
    enum class State {
        Closed, ///< No segment sent yet.
        Opening, ///< SYN sent or received.
        Established,
        Closing, ///< FIN sent or received.
        Finished, ///< Both ends have closed.
        Reset,
    };

    using Sender = std::function<void(std::string packet)>;
    using Reader = std::function<void(std::string_view bytes)>;

    /** Creates a closed endpoint. `sender` gets the packets to send, `reader` the received bytes in order. */
    TcpEndpoint(std::uint32_t localAddress,
                std::uint16_t localPort,
                std::uint32_t remoteAddress,
                std::uint16_t remotePort,
                std::uint32_t initialSequence,
                Sender sender,
                Reader reader);

    /** Sends the SYN. */
    void open(Timestamp now);

    /** Queues bytes; they are sent once the connection is established. */
    void write(Timestamp now, std::string_view bytes);

    /** Queues a FIN behind the queued bytes. */
    void close(Timestamp now);

    /** Handles an IP packet from the other end. */
    void handlePacket(Timestamp now, std::string_view packet);

    /** Retransmits the first segment if it was not acknowledged in time. */
    void tick(Timestamp now);

    State state() const
    {
        return state_;
    }
    /** Returns true once the SYN was acknowledged, also after a reset. */
    bool wasEstablished() const
    {
        return established_;
    }

private:
    struct Segment {
        std::uint16_t flags = 0;
        std::string payload;
    };

    static std::uint32_t lengthOf(const Segment &segment);
    void queueSegment(Timestamp now, Segment segment);
    void sendFirst(Timestamp now);
    void emit(std::uint16_t flags, std::uint32_t sequence, const std::string &payload);
    void acknowledge();
    void handleAcknowledgement(Timestamp now, std::uint32_t number);

    std::uint32_t localAddress_;
    std::uint16_t localPort_;
    std::uint32_t remoteAddress_;
    std::uint16_t remotePort_;
    Sender sender_;
    Reader reader_;
    State state_ = State::Closed;
    /** Sequence number of the first byte of the first queued segment. */
    std::uint32_t sendNext_;
    std::uint32_t receiveNext_ = 0;
    bool established_ = false;
    bool synReceived_ = false;
    bool finReceived_ = false;
    bool finQueued_ = false;
    std::deque<Segment> segments_;
    Timestamp sentAt_;
};

} // namespace rhubarblane

#endif
