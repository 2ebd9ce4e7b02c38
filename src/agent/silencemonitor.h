#ifndef RHUBARBLANE_AGENT_SILENCEMONITOR_H
#define RHUBARBLANE_AGENT_SILENCEMONITOR_H

#include "agent/flowtable.h"
#include "agent/packetsummary.h"

#include <boost/intrusive/list.hpp>

namespace rhubarblane
{

/**
 * Detects flows in which one side sends and the other never answers, as after a middlebox has lost their state. Only
 * traffic that expects an answer starts the wait, so idle and one-way flows are not reported.
 */
class SilenceMonitor
{
public:
    /** Handles a packet of the caller; `expectsAnswer` if the target has to react to it. */
    void fromCaller(Timestamp now, FlowRecord &record, const PacketSummary &summary, bool expectsAnswer);

    void fromTarget(Timestamp now, FlowRecord &record, const PacketSummary &summary);

    /** Returns a flow that has awaited an answer for `timeout` or longer; null if there is none. */
    FlowRecord *findSilent(Timestamp now, Milliseconds timeout);

private:
    template<SilenceHook FlowRecord::*Hook>
    using List = boost::intrusive::list<FlowRecord,
                                        boost::intrusive::member_hook<FlowRecord, SilenceHook, Hook>,
                                        boost::intrusive::constant_time_size<false>>;

    // Ordered by the start of the wait, which suffices because the timeout is the same for all flows.
    List<&FlowRecord::awaitsTarget> awaitsTarget_;
    List<&FlowRecord::awaitsCaller> awaitsCaller_;
};

} // namespace rhubarblane

#endif
