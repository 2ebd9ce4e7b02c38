#include "relay/requestgate.h"

#include "relay/relaytypes.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace rhubarblane
{

namespace
{

// Requests that wait at the target, so that a slot is not idle while the agent learns that it is free. An urgent
// request waits for at most these and the requests in the slots.
constexpr std::uint32_t LookAhead = 1;
// While urgent requests take all the room, one less urgent request begins after this many of them.
constexpr std::uint32_t UrgentStartsPerTurn = 7;
// Late requests delay those that can still be in time, so they begin after them, but one after this many of them.
constexpr std::uint32_t FreshTurnsPerLate = 7;
// A target begins fewer requests than this in the longest time for which they are held; with the limit of bytes, the
// held packets take 1 MB of the agent's VM.
constexpr std::size_t MaximumHeldRequests = 64;
constexpr std::size_t MaximumHeldBytes = 1U << 20;
// Callers have at most 16 packets in flight.
constexpr std::size_t MaximumPacketsPerRequest = 16;

} // namespace

bool RequestGate::admits(const TargetRoom &room) const
{
    if (room.requests < room.slots) {
        return true;
    }
    return held_.empty() && room.requests + room.expectedUrgent < room.slots + LookAhead;
}

std::vector<HeldRequest>
RequestGate::hold(Timestamp now, const FlowTuple &flow, Milliseconds holdTime, bool late, HeldPacket packet)
{
    std::vector<HeldRequest> dropped;
    std::uint64_t round = round_;
    for (const HeldRequest &held : held_) {
        if (held.flow.callerAddress == flow.callerAddress && held.isLate == late) {
            round = std::max(round, held.round + 1);
        }
    }
    HeldRequest request {flow, now, now + holdTime, now + holdTime * 2, round, late, {}};
    const bool fitting = fits(packet);
    request.packets.push_back(std::move(packet));
    if (!fitting) {
        dropped.push_back(std::move(request));
        return dropped;
    }
    bytes_ += request.packets.front().packet.size();
    held_.push_back(std::move(request));
    if (held_.size() > MaximumHeldRequests) {
        dropped.push_back(remove(newestOfLargestCaller()));
    }
    return dropped;
}

bool RequestGate::append(const FlowTuple &flow, HeldPacket packet)
{
    const Position held = find(flow);
    if (held == held_.end() || held->packets.size() >= MaximumPacketsPerRequest || !fits(packet)) {
        return false;
    }
    const bool known = std::any_of(held->packets.begin(), held->packets.end(), [&packet](const HeldPacket &other) {
        return other.sequence == packet.sequence && other.packet.size() == packet.packet.size();
    });
    if (known) {
        return false;
    }
    bytes_ += packet.packet.size();
    held->packets.push_back(std::move(packet));
    return true;
}

bool RequestGate::isHeld(const FlowTuple &flow) const
{
    return std::any_of(held_.begin(), held_.end(), [&flow](const HeldRequest &held) { return held.flow == flow; });
}

std::optional<HeldRequest> RequestGate::takeNext(const TargetRoom &room)
{
    if (held_.empty()) {
        return std::nullopt;
    }
    const bool free = room.requests < room.slots || room.requests + room.expectedUrgent < room.slots + LookAhead;
    // A target with a full queue would reject the request.
    const bool turn = urgentStarts_ >= UrgentStartsPerTurn && room.requests < room.slots + QueueLimit;
    if (!free && !turn) {
        return std::nullopt;
    }
    const bool anyLate = std::any_of(held_.begin(), held_.end(), [](const HeldRequest &held) { return held.isLate; });
    const bool lateFirst = anyLate && freshTurns_ >= FreshTurnsPerLate;
    const Position next =
        std::min_element(held_.begin(), held_.end(), [lateFirst](const HeldRequest &a, const HeldRequest &b) {
            return a.isLate != b.isLate ? a.isLate == lateFirst : a.round < b.round;
        });
    freshTurns_ = anyLate && !next->isLate ? freshTurns_ + 1 : 0;
    round_ = std::max(round_, next->round);
    urgentStarts_ = 0;
    return remove(next);
}

std::optional<HeldRequest> RequestGate::take(const FlowTuple &flow)
{
    const Position held = find(flow);
    return held == held_.end() ? std::nullopt : std::optional<HeldRequest>(remove(held));
}

std::vector<HeldRequest> RequestGate::takeExpired(Timestamp now)
{
    std::vector<HeldRequest> expired;
    for (Position held = held_.begin(); held != held_.end();) {
        const Position next = std::next(held);
        held->isLate = held->isLate || now >= held->late;
        if (now >= held->until) {
            expired.push_back(remove(held));
        }
        held = next;
    }
    return expired;
}

std::vector<HeldRequest> RequestGate::takeAll()
{
    std::vector<HeldRequest> all;
    while (!held_.empty()) {
        all.push_back(remove(held_.begin()));
    }
    return all;
}

void RequestGate::noteUrgentStart()
{
    if (!held_.empty()) {
        ++urgentStarts_;
    }
}

std::size_t RequestGate::heldOf(std::uint32_t caller) const
{
    return static_cast<std::size_t>(std::count_if(
        held_.begin(), held_.end(), [caller](const HeldRequest &held) { return held.flow.callerAddress == caller; }));
}

std::size_t RequestGate::inTime() const
{
    return static_cast<std::size_t>(
        std::count_if(held_.begin(), held_.end(), [](const HeldRequest &held) { return !held.isLate; }));
}

RequestGate::Position RequestGate::find(const FlowTuple &flow)
{
    return std::find_if(held_.begin(), held_.end(), [&flow](const HeldRequest &held) { return held.flow == flow; });
}

RequestGate::Position RequestGate::newestOfLargestCaller()
{
    Position newest = std::prev(held_.end());
    std::size_t most = heldOf(newest->flow.callerAddress);
    for (Position held = held_.begin(); held != held_.end(); ++held) {
        const std::size_t count = heldOf(held->flow.callerAddress);
        if (count > most || held->flow.callerAddress == newest->flow.callerAddress) {
            most = count;
            newest = held;
        }
    }
    return newest;
}

HeldRequest RequestGate::remove(Position position)
{
    HeldRequest request = std::move(*position);
    held_.erase(position);
    for (const HeldPacket &packet : request.packets) {
        bytes_ -= packet.packet.size();
    }
    return request;
}

bool RequestGate::fits(const HeldPacket &packet) const
{
    return bytes_ + packet.packet.size() <= MaximumHeldBytes;
}

} // namespace rhubarblane
