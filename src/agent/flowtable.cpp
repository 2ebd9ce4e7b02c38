#include "agent/flowtable.h"

#include "base/invariant.h"

namespace rhubarblane
{

FlowRecord *FlowTable::find(const FlowTuple &flow)
{
    const auto position = records_.find(flow);
    return position == records_.end() ? nullptr : position->second.get();
}

FlowRecord &FlowTable::insert(const FlowTuple &flow, Timestamp now)
{
    auto record = std::make_unique<FlowRecord>();
    record->flow = flow;
    record->number = FlowNumber(nextNumber_++);
    record->opened = now;
    record->lastFromCaller = now;
    record->lastFromTarget = now;
    const auto [position, inserted] = records_.emplace(flow, std::move(record));
    RHUBARBLANE_INVARIANT(inserted, "a flow has one record");
    order_.push_back(*position->second);
    return *position->second;
}

void FlowTable::erase(const FlowTuple &flow)
{
    const auto position = records_.find(flow);
    if (position == records_.end()) {
        return;
    }
    order_.erase(order_.iterator_to(*position->second));
    records_.erase(position);
}

void FlowTable::touch(FlowRecord &record)
{
    order_.splice(order_.end(), order_, order_.iterator_to(record));
}

FlowRecord *FlowTable::oldest()
{
    return order_.empty() ? nullptr : &order_.front();
}

} // namespace rhubarblane
