// The part of RelayAgent that lets the requests of less urgent services wait for their turn.
#include "relay/relayagent.h"

#include <algorithm>

namespace rhubarblane
{

namespace
{

// Bounds the memory of held packets for services without an objective; few callers wait longer for an answer.
constexpr Milliseconds MaximumHoldTime(1000);

} // namespace

bool RelayAgent::holdPacket(Timestamp now,
                            const PeerAddress &from,
                            const wire::relay::Forward &forward,
                            const RelayPacket &head)
{
    if (gate_.isHeld(head.flow)) {
        if (head.reset) {
            dropHeldOf(now, head.flow, "callerGone");
            return false;
        }
        if (head.payloadBytes == 0 && !head.closing) {
            return false; // An acknowledgement of an earlier answer.
        }
        gate_.append(head.flow, {forward.packet(), from, forward.mode(), head.sequence});
        return true;
    }
    AgentFlow *flow = flows_.find(head.flow);
    if (flow == nullptr) {
        return false;
    }
    flow->lessUrgent = forward.less_urgent();
    const Milliseconds holdTime = std::min(Milliseconds(forward.hold_ms()), MaximumHoldTime);
    const bool mayHold = flow->lessUrgent && holdTime > Milliseconds(0) && !leaving_;
    if (!mayHold || !TargetFlows::beginsRequest(*flow, head)) {
        return false;
    }
    const TargetRoom current = room(now);
    if (gate_.admits(current)) {
        return false;
    }
    flows_.touch(now, head.flow).balancer = from;
    ++counters_.requestsHeld;
    output_.logDecision("requestHeld",
                        {{"flow", formatFlowTuple(head.flow)},
                         {"requests", std::to_string(current.requests)},
                         {"slots", std::to_string(current.slots)},
                         {"expectedUrgent", std::to_string(current.expectedUrgent)},
                         {"held", std::to_string(gate_.size())},
                         {"late", flow->requestDropped ? "true" : "false"},
                         {"holdMs", std::to_string(holdTime.count())}});
    const std::vector<HeldRequest> overflow = gate_.hold(
        now, head.flow, holdTime, flow->requestDropped, {forward.packet(), from, forward.mode(), head.sequence});
    counters_.heldOverflowed += overflow.size();
    dropHeld(now, overflow, "limit");
    startHeld(now);
    return true;
}

TargetRoom RelayAgent::room(Timestamp now)
{
    return {flows_.meter().slots(), flows_.meter().busy(), flows_.expectedUrgentRequests(now)};
}

void RelayAgent::startHeld(Timestamp now)
{
    if (gate_.size() == 0) {
        return;
    }
    while (const std::optional<HeldRequest> held = gate_.takeNext(room(now))) {
        ++counters_.heldStarted;
        passHeld(now, *held);
    }
}

void RelayAgent::passHeldOf(Timestamp now, const FlowTuple &tuple, std::string_view reason)
{
    if (const std::optional<HeldRequest> held = gate_.take(tuple)) {
        ++counters_.heldPassedOn;
        output_.logDecision("heldPassedOn",
                            {{"flow", formatFlowTuple(tuple)}, {"requests", "1"}, {"reason", std::string(reason)}});
        passHeld(now, *held);
    }
}

void RelayAgent::passAllHeld(Timestamp now, std::string_view reason)
{
    const std::vector<HeldRequest> all = gate_.takeAll();
    if (all.empty()) {
        return;
    }
    counters_.heldPassedOn += all.size();
    output_.logDecision("heldPassedOn",
                        {{"flow", formatFlowTuple(all.front().flow)},
                         {"requests", std::to_string(all.size())},
                         {"reason", std::string(reason)}});
    for (const HeldRequest &held : all) {
        passHeld(now, held);
    }
}

void RelayAgent::passHeld(Timestamp now, const HeldRequest &held)
{
    counters_.heldLongestMs = std::max(counters_.heldLongestMs, static_cast<std::uint64_t>((now - held.since).count()));
    for (const HeldPacket &kept : held.packets) {
        const std::optional<RelayPacket> head = format_.decode(kept.packet, PacketOrigin::Caller);
        if (!head) {
            ++counters_.malformed;
        } else if (isTargetGone(now)) {
            ++counters_.returnedNotHeld;
            discardEndedFlow(now, held.flow);
            returnPacket(now, kept.balancer, ReturnReason::NotHeld, kept.packet);
        } else {
            deliver(now, kept.balancer, kept.packet, *head, kept.mode);
        }
    }
}

void RelayAgent::dropHeldOf(Timestamp now, const FlowTuple &tuple, std::string_view reason)
{
    if (const std::optional<HeldRequest> held = gate_.take(tuple)) {
        ++counters_.heldAbandoned;
        dropHeld(now, {*held}, reason);
    }
}

void RelayAgent::dropHeld(Timestamp now, const std::vector<HeldRequest> &dropped, std::string_view reason)
{
    if (dropped.empty()) {
        return;
    }
    std::uint64_t longest = 0;
    for (const HeldRequest &held : dropped) {
        if (AgentFlow *flow = flows_.find(held.flow)) {
            flow->requestDropped = true;
        }
        longest = std::max(longest, static_cast<std::uint64_t>((now - held.since).count()));
    }
    counters_.heldLongestMs = std::max(counters_.heldLongestMs, longest);
    output_.logDecision("requestsDropped",
                        {{"flow", formatFlowTuple(dropped.front().flow)},
                         {"requests", std::to_string(dropped.size())},
                         {"reason", std::string(reason)},
                         {"heldMs", std::to_string(longest)},
                         {"busy", std::to_string(flows_.meter().busy())},
                         {"stillHeld", std::to_string(gate_.size())}});
}

void RelayAgent::serveHeld(Timestamp now)
{
    if (gate_.size() == 0) {
        return;
    }
    if (isTargetGone(now)) {
        passAllHeld(now, "targetGone");
        return;
    }
    startHeld(now);
    const std::vector<HeldRequest> expired = gate_.takeExpired(now);
    counters_.heldExpired += expired.size();
    dropHeld(now, expired, "holdTime");
}

} // namespace rhubarblane
