#ifndef RHUBARBLANE_DAEMON_TARGETLINK_H
#define RHUBARBLANE_DAEMON_TARGETLINK_H

#include "agent/agentaction.h"
#include "runtime/eventloop.h"

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

namespace rhubarblane
{

/** Counters since the start of the process. */
struct TargetLinkCounters {
    std::uint64_t toTarget = 0;
    std::uint64_t fromTarget = 0;
    /** Packets that the kernel rejected or for which no socket could be opened. */
    std::uint64_t dropped = 0;
    /** Flows that the local target refused with ICMP port unreachable. */
    std::uint64_t refused = 0;
};

/**
 * Connects the agent to the local target through one connected UDP socket per flow, so that the target sees each flow
 * as a separate peer. For UDP services the target receives only the payload; for TCP services it receives whole IP
 * packets (encapsulated mode).
 */
class TargetLink
{
public:
    using PacketHandler = std::function<void(const FlowTuple &flow, FlowNumber number, std::string packet)>;
    using ClosedHandler = std::function<void(const FlowTuple &flow, FlowNumber number)>;

    /** `loop` must outlive the link. */
    TargetLink(EventLoop &loop, const PeerAddress &target);
    TargetLink(const TargetLink &) = delete;
    TargetLink &operator=(const TargetLink &) = delete;
    ~TargetLink();

    /** Sets the handlers for reply packets of a flow and for flows that the target refused. */
    void setHandlers(PacketHandler packetHandler, ClosedHandler closedHandler);

    void deliver(const DeliverPacket &action);
    void close(const CloseFlow &action);

    std::size_t openSockets() const
    {
        return sockets_.size();
    }
    const TargetLinkCounters &counters() const
    {
        return counters_;
    }

private:
    struct FlowSocket {
        FlowTuple flow;
        int descriptor = -1;
    };

    int openSocket(const FlowTuple &flow, FlowNumber number);
    void receive(FlowNumber number);
    void reportRefused(const FlowTuple &flow, FlowNumber number);

    EventLoop &loop_;
    PeerAddress target_;
    PacketHandler packetHandler_;
    ClosedHandler closedHandler_;
    std::unordered_map<FlowNumber, FlowSocket> sockets_;
    std::string buffer_;
    TargetLinkCounters counters_;
};

} // namespace rhubarblane

#endif
