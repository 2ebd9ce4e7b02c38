#ifndef RHUBARBLANE_RELAY_TARGETFLOWS_H
#define RHUBARBLANE_RELAY_TARGETFLOWS_H

#include "base/clock.h"
#include "base/latencyhistogram.h"
#include "relay/agentflow.h"
#include "relay/outlierdetector.h"
#include "relay/packetformat.h"
#include "relay/recentflows.h"
#include "relay/relayagentcounters.h"
#include "relay/requestmeter.h"

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace rhubarblane
{

/** Tracks the flows of one target and their requests from the packets in both directions. */
class TargetFlows
{
public:
    /** `counters` must outlive the flows. */
    explicit TargetFlows(RelayAgentCounters &counters);

    AgentFlow *find(const FlowTuple &tuple)
    {
        return flows_.find(tuple);
    }

    /** Returns the flow's record, created if there is none. */
    AgentFlow &touch(Timestamp now, const FlowTuple &tuple)
    {
        AgentFlow &flow = flows_.touch(now, tuple);
        if (flow.number == 0) {
            flow.number = ++lastNumber_;
        }
        return flow;
    }

    /** Returns the number of the record that was created last. */
    std::uint64_t lastNumber() const
    {
        return lastNumber_;
    }

    /** Returns the flows whose records have numbers above `number`. */
    std::vector<FlowHash> recordedSince(std::uint64_t number);

    /** Records a packet from the caller to the target. */
    void noteCallerPacket(Timestamp now, AgentFlow &flow, const RelayPacket &head);

    /** Records a packet from the target to the caller. */
    void noteTargetPacket(Timestamp now, AgentFlow &flow, const RelayPacket &head);

    /** Removes a flow; its pending request counts as abandoned. */
    void discard(Timestamp now, const FlowTuple &tuple);

    /**
     * Handles the first report of a start of the target: no request is pending any more. Unless `keepsFlows`, each flow
     * may belong to this start or to the one before, which the target's next packet shows.
     */
    void handleTargetRestart(Timestamp now, bool keepsFlows);

    /** Records that a new flow was passed to the target. Its request is expected until it arrives or times out. */
    void expectRequest(Timestamp now, const FlowTuple &tuple)
    {
        expectedRequests_.emplace_back(tuple, now);
    }

    /** Returns the number of new flows whose first request is still expected. */
    std::uint32_t expectedRequests(Timestamp now);

    /** Returns how many of the expected requests are not those of less urgent services. */
    std::uint32_t expectedUrgentRequests(Timestamp now);

    /** Returns true if a caller's packet begins a request on an open flow. */
    static bool beginsRequest(const AgentFlow &flow, const RelayPacket &head);

    /** Removes ended flows and requests. Must be called about once a second. */
    void sweep(Timestamp now);

    void setSlots(std::uint32_t slots)
    {
        meter_.setSlots(slots);
    }
    const RequestMeter &meter() const
    {
        return meter_;
    }
    /** Returns the times from the last byte of a request to the first byte of its answer. */
    const LatencyHistogram &requestTimes() const
    {
        return requestTimes_;
    }
    /** Returns the outlier detector, which is updated when a request ends. */
    const OutlierDetector &outliers() const
    {
        return outliers_;
    }
    std::size_t size() const
    {
        return flows_.size();
    }

private:
    enum class RequestEnd {
        Answered,
        Reset, ///< The target reset the flow without closing it first.
        Abandoned, ///< The caller gave up, or the outcome is unknown.
    };

    void endRequest(Timestamp now, AgentFlow &flow, RequestEnd end);

    RelayAgentCounters &counters_;
    RecentFlows<AgentFlow> flows_;
    RequestMeter meter_;
    OutlierDetector outliers_;
    LatencyHistogram requestTimes_;
    std::vector<std::pair<FlowTuple, Timestamp>> expectedRequests_;
    std::uint64_t lastNumber_ = 0;
};

} // namespace rhubarblane

#endif
