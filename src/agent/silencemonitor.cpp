#include "agent/silencemonitor.h"

namespace rhubarblane
{

void SilenceMonitor::fromCaller(Timestamp now, FlowRecord &record, const PacketSummary &summary, bool expectsAnswer)
{
    record.awaitsCaller.unlink();
    if (expectsAnswer && !record.awaitsTarget.is_linked()) {
        record.awaitsTargetSince = now;
        awaitsTarget_.push_back(record);
    }
}

void SilenceMonitor::fromTarget(Timestamp now, FlowRecord &record, const PacketSummary &summary)
{
    record.awaitsTarget.unlink();
    // A UDP caller need not answer; a TCP caller acknowledges.
    if (record.flow.protocol == Protocol::Tcp && summary.expectsAnswer() && !record.awaitsCaller.is_linked()) {
        record.awaitsCallerSince = now;
        awaitsCaller_.push_back(record);
    }
}

FlowRecord *SilenceMonitor::findSilent(Timestamp now, Milliseconds timeout)
{
    if (!awaitsTarget_.empty() && now - awaitsTarget_.front().awaitsTargetSince >= timeout) {
        return &awaitsTarget_.front();
    }
    if (!awaitsCaller_.empty() && now - awaitsCaller_.front().awaitsCallerSince >= timeout) {
        return &awaitsCaller_.front();
    }
    return nullptr;
}

} // namespace rhubarblane
