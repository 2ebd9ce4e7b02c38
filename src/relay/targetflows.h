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

/** The flows of one target and the requests in them, as the packets in both directions show them. */
class TargetFlows
{
public:
    /** `counters` must outlive the flows. */
    explicit TargetFlows(RelayAgentCounters &counters);

    AgentFlow *find(const FlowTuple &tuple)
    {
        return flows_.find(tuple);
    }

    /** The flow's record, a new one if there is none. */
    AgentFlow &touch(Timestamp now, const FlowTuple &tuple)
    {
        return flows_.touch(now, tuple);
    }

    /** A packet of the caller goes to the target. */
    void noteCallerPacket(Timestamp now, AgentFlow &flow, const RelayPacket &head);

    /** A packet of the target goes to the caller. */
    void noteTargetPacket(Timestamp now, AgentFlow &flow, const RelayPacket &head);

    /** Forgets a flow; a request in it has no answer. */
    void discard(Timestamp now, const FlowTuple &tuple);

    /** The target started anew: no request goes on. Flows belong to `start` if the target `heldBefore`. */
    void handleTargetRestart(Timestamp now, std::uint64_t start, bool keepsFlows);

    /** A new flow was let through to the target; its request counts until it arrives or must have been lost. */
    void expectRequest(Timestamp now, const FlowTuple &tuple)
    {
        expectedRequests_.emplace_back(tuple, now);
    }

    /** New flows whose requests are about to come. */
    std::uint32_t expectedRequests(Timestamp now);

    /** Forgets flows and requests that have ended. To be called about once a second. */
    void sweep(Timestamp now);

    void setSlots(std::uint32_t slots)
    {
        meter_.setSlots(slots);
    }
    const RequestMeter &meter() const
    {
        return meter_;
    }
    /** Time from the last byte of a request to the first of its answer. */
    const LatencyHistogram &requestTimes() const
    {
        return requestTimes_;
    }
    /** Fed with the ends of the requests. */
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
        Reset, ///< The target reset the flow.
        Abandoned, ///< The caller gave up, or nothing is known of the end.
    };

    void endRequest(Timestamp now, AgentFlow &flow, RequestEnd end);

    RelayAgentCounters &counters_;
    RecentFlows<AgentFlow> flows_;
    RequestMeter meter_;
    OutlierDetector outliers_;
    LatencyHistogram requestTimes_;
    std::vector<std::pair<FlowTuple, Timestamp>> expectedRequests_;
};

} // namespace rhubarblane

#endif
