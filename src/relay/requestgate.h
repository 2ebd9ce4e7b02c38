#ifndef RHUBARBLANE_RELAY_REQUESTGATE_H
#define RHUBARBLANE_RELAY_REQUESTGATE_H

#include "base/clock.h"
#include "wire/flowtuple.h"
#include "wire/peeraddress.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <vector>

namespace rhubarblane
{

/** The load of a target, as its agent knows it when it decides on a request. */
struct TargetRoom {
    std::uint32_t slots = 1;
    std::uint32_t requests = 0; ///< Requests at the target, including those that wait there.
    std::uint32_t expectedUrgent = 0; ///< Urgent flows that have just opened and whose first request is on the way.
};

/** A packet of a held request and how it was forwarded. */
struct HeldPacket {
    std::string packet;
    PeerAddress balancer;
    std::uint32_t mode = 0;
    std::uint32_t sequence = 0;
};

/** The packets of a less urgent request that has not begun at the target. */
struct HeldRequest {
    FlowTuple flow;
    Timestamp since;
    Timestamp late; ///< From then on the request follows those that can still be in time.
    Timestamp until; ///< The request is dropped if it has not begun by then; its caller sends it again.
    std::uint64_t round = 0; ///< See RequestGate::takeNext().
    bool isLate = false; ///< Held for too long to be answered in time, now or before it was dropped.
    std::vector<HeldPacket> packets;
};

/**
 * Decides when requests of less urgent services begin at a target that also serves a more urgent service. Urgent
 * requests always pass. Less urgent ones pass while the target has a free slot; otherwise they are held and begin in
 * turn between callers, so that the queue at the target stays short for the urgent ones.
 */
class RequestGate
{
public:
    /** Returns true if a less urgent request may begin at once. */
    bool admits(const TargetRoom &room) const;

    /**
     * Holds the first packet of a request: it is late after `holdTime`, and dropped after twice this time. Beyond the
     * limit of held requests, the newest request of the caller with the most of them is dropped; it is returned, and
     * may be the one that was to be held.
     */
    std::vector<HeldRequest>
    hold(Timestamp now, const FlowTuple &flow, Milliseconds holdTime, bool late, HeldPacket packet);

    /** Adds a packet to a held request. Returns false if it is dropped as a copy or beyond the limits. */
    bool append(const FlowTuple &flow, HeldPacket packet);

    bool isHeld(const FlowTuple &flow) const;

    /**
     * Returns the next request that may begin, or no value. Each caller has one request in each round, in the order of
     * their arrival. Late ones follow the others, but take at least each eighth turn.
     */
    std::optional<HeldRequest> takeNext(const TargetRoom &room);

    /** Returns the held request of a flow, which is no longer held. */
    std::optional<HeldRequest> take(const FlowTuple &flow);

    /** Returns the requests that have been held for their maximum time, and marks those that have become late. */
    std::vector<HeldRequest> takeExpired(Timestamp now);

    /** Returns all held requests in the order of their arrival. */
    std::vector<HeldRequest> takeAll();

    /** Records that an urgent request begins. */
    void noteUrgentStart();

    std::size_t size() const
    {
        return held_.size();
    }
    /** Returns the number of held requests that are not late. */
    std::size_t inTime() const;
    std::size_t bytes() const
    {
        return bytes_;
    }

private:
    using Position = std::list<HeldRequest>::iterator;

    std::size_t heldOf(std::uint32_t caller) const;
    Position find(const FlowTuple &flow);
    /** Returns the newest request of the caller that has the most requests; there must be one. */
    Position newestOfLargestCaller();
    HeldRequest remove(Position position);
    bool fits(const HeldPacket &packet) const;

    std::list<HeldRequest> held_; ///< In the order of arrival.
    std::size_t bytes_ = 0;
    std::uint64_t round_ = 0; ///< The round of the last request that began.
    std::uint32_t freshTurns_ = 0; ///< Turns since a late request began, while one was held.
    std::uint32_t urgentStarts_ = 0; ///< Urgent requests that began since a less urgent one did, while one was held.
};

} // namespace rhubarblane

#endif
