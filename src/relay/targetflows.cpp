#include "relay/targetflows.h"

#include "relay/flowretention.h"

#include <algorithm>

namespace rhubarblane
{

namespace
{

// The caller's request follows its SYN after a round trip to the caller, 6 ms in the reference deployments.
constexpr Milliseconds RequestArrivalPeriod(30);
// Retransmissions of the last packets of a closed flow arrive within the longest retransmission interval, 1.6 s.
constexpr Milliseconds ClosedRetention(3000);
// Callers give up after at most 6 s in the reference workloads; a request without an answer for longer has ended.
constexpr Milliseconds RequestRetention(6000);

bool isNewer(std::uint32_t sequence, std::uint32_t than)
{
    return static_cast<std::int32_t>(sequence - than) > 0;
}

} // namespace

TargetFlows::TargetFlows(RelayAgentCounters &counters)
    : counters_(counters)
{
}

void TargetFlows::noteCallerPacket(Timestamp now, AgentFlow &flow, const RelayPacket &head)
{
    flow.callerClosed = flow.callerClosed || head.closing || head.reset;
    if (head.reset) {
        flow.targetClosed = true;
        endRequest(now, flow, RequestEnd::Abandoned);
        return;
    }
    if (head.payloadBytes == 0 || flow.targetClosed) {
        return; // A target that has closed the flow answers no further request.
    }
    const std::uint32_t end = head.sequence + head.payloadBytes;
    if (flow.sentRequest && !isNewer(end, flow.callerSequence)) {
        return; // A retransmission of a known request.
    }
    flow.callerSequence = end;
    flow.sentRequest = true;
    if (!flow.requestPending) {
        flow.requestPending = true;
        flow.requestDropped = false;
        flow.requestInSlot = meter_.start(now);
    }
    // The processing of a request starts when its last byte has arrived.
    flow.requestStarted = now;
}

void TargetFlows::noteTargetPacket(Timestamp now, AgentFlow &flow, const RelayPacket &head)
{
    if (head.acknowledging && (!flow.sentRequest || isNewer(head.acknowledgement, flow.callerSequence))) {
        // The agent may have started after the caller sent these bytes; their retransmissions are no new request.
        flow.callerSequence = head.acknowledgement;
        flow.sentRequest = flow.sentRequest || !head.opening;
    }
    // A request can cross the end of a flow that the target closes as idle. Its reset is no failure of the target.
    const bool resetWhileOpen = head.reset && !flow.targetClosed;
    flow.targetClosed = flow.targetClosed || head.closing || head.reset;
    if (head.reset) {
        endRequest(now, flow, resetWhileOpen ? RequestEnd::Reset : RequestEnd::Abandoned);
    } else if (head.payloadBytes > 0 || head.closing) {
        // The FIN of a flow can arrive before the last bytes of the answer.
        endRequest(now, flow, RequestEnd::Answered);
    }
    if (head.reset) {
        flow.callerClosed = true;
    }
}

void TargetFlows::discard(Timestamp now, const FlowTuple &tuple)
{
    if (AgentFlow *flow = flows_.find(tuple)) {
        endRequest(now, *flow, RequestEnd::Abandoned);
        flows_.erase(tuple);
    }
}

void TargetFlows::handleTargetRestart(Timestamp now, bool keepsFlows)
{
    meter_.clear(now);
    outliers_.clear();
    flows_.forEach([this, keepsFlows](AgentFlow &flow) {
        flow.requestPending = false;
        // The new start may have opened flows before its first report, so the records do not tell whose flows these
        // are.
        if (flow.open && !keepsFlows) {
            flow.unconfirmed = true;
            ++counters_.flowsUnconfirmed;
        }
    });
}

std::uint32_t TargetFlows::expectedRequests(Timestamp now)
{
    const auto isNoLongerExpected = [this, now](const std::pair<FlowTuple, Timestamp> &entry) {
        const AgentFlow *flow = flows_.find(entry.first);
        return flow == nullptr || flow->sentRequest || now - entry.second > RequestArrivalPeriod;
    };
    expectedRequests_.erase(std::remove_if(expectedRequests_.begin(), expectedRequests_.end(), isNoLongerExpected),
                            expectedRequests_.end());
    return static_cast<std::uint32_t>(expectedRequests_.size());
}

std::vector<FlowHash> TargetFlows::recordedSince(std::uint64_t number)
{
    std::vector<FlowHash> flows;
    flows_.forEach([&flows, number](const AgentFlow &flow) {
        if (flow.number > number) {
            flows.push_back(flowHashOf(flow.tuple));
        }
    });
    return flows;
}

std::uint32_t TargetFlows::expectedUrgentRequests(Timestamp now)
{
    expectedRequests(now);
    return static_cast<std::uint32_t>(
        std::count_if(expectedRequests_.begin(), expectedRequests_.end(), [this](const auto &entry) {
            const AgentFlow *flow = flows_.find(entry.first);
            return flow != nullptr && !flow->lessUrgent;
        }));
}

bool TargetFlows::beginsRequest(const AgentFlow &flow, const RelayPacket &head)
{
    const bool held = flow.open && !flow.probed && !flow.unconfirmed && !flow.targetClosed;
    const bool repeated = flow.sentRequest && !isNewer(head.sequence + head.payloadBytes, flow.callerSequence);
    return held && !flow.requestPending && head.payloadBytes > 0 && !repeated;
}

void TargetFlows::sweep(Timestamp now)
{
    flows_.expire(now, FlowRetention, [this, now](AgentFlow &flow) { endRequest(now, flow, RequestEnd::Abandoned); });
    std::vector<FlowTuple> ended;
    flows_.forEach([&](AgentFlow &flow) {
        if (flow.requestPending && now - flow.lastActive > RequestRetention) {
            endRequest(now, flow, RequestEnd::Abandoned);
        }
        if (flow.closed() && now - flow.lastActive > ClosedRetention) {
            endRequest(now, flow, RequestEnd::Abandoned);
            ended.push_back(flow.tuple);
        }
    });
    for (const FlowTuple &tuple : ended) {
        flows_.erase(tuple);
    }
}

void TargetFlows::endRequest(Timestamp now, AgentFlow &flow, RequestEnd end)
{
    if (!flow.requestPending) {
        return;
    }
    flow.requestPending = false;
    if (end == RequestEnd::Answered) {
        ++counters_.requestsFinished;
        outliers_.noteAnswer(now);
        requestTimes_.add(now - flow.requestStarted);
        meter_.finish(now, flow.requestStarted, flow.requestInSlot);
    } else {
        ++counters_.requestsAbandoned;
        meter_.abandon(now);
        if (end == RequestEnd::Reset) {
            ++counters_.requestsCutOff;
            outliers_.noteFailure(now);
            counters_.ejections = outliers_.ejections();
        }
    }
}

} // namespace rhubarblane
