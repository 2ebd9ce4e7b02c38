#ifndef RHUBARBLANE_AGENT_FLOWTABLE_H
#define RHUBARBLANE_AGENT_FLOWTABLE_H

#include "agent/agentaction.h"
#include "base/clock.h"

#include <boost/intrusive/list.hpp>

#include <memory>
#include <unordered_map>

namespace rhubarblane
{

/** One flow that the local target serves. */
struct FlowRecord : boost::intrusive::list_base_hook<> {
    FlowTuple flow;
    FlowNumber number;
    Timestamp opened;
    Timestamp lastFromCaller;
    Timestamp lastFromTarget;
    /** The request occupies a slot until its answer is complete. */
    bool active = true;
};

/** The flows that the local target serves; the only authoritative record of them. */
class FlowTable
{
public:
    FlowRecord *find(const FlowTuple &flow);

    /** Adds a record with a fresh number. The flow must not be in the table. */
    FlowRecord &insert(const FlowTuple &flow, Timestamp now);

    void erase(const FlowTuple &flow);

    /** Moves a record to the end of the activity order. */
    void touch(FlowRecord &record);

    /** The record without activity for the longest time; null if the table is empty. */
    FlowRecord *oldest();

    std::size_t size() const
    {
        return records_.size();
    }

    template<typename Visitor>
    void forEach(Visitor visitor) const
    {
        for (const FlowRecord &record : order_) {
            visitor(record);
        }
    }

private:
    std::unordered_map<FlowTuple, std::unique_ptr<FlowRecord>> records_;
    boost::intrusive::list<FlowRecord> order_;
    std::uint64_t nextNumber_ = 1;
};

} // namespace rhubarblane

#endif
