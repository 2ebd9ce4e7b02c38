#ifndef RHUBARBLANE_RELAY_RECENTFLOWS_H
#define RHUBARBLANE_RELAY_RECENTFLOWS_H

#include "base/clock.h"
#include "wire/flowtuple.h"

#include <boost/intrusive/list.hpp>

#include <cstddef>
#include <limits>
#include <unordered_map>

namespace rhubarblane
{

/** Base class of the records in RecentFlows. */
struct RecentFlow : boost::intrusive::list_base_hook<> {
    FlowTuple tuple;
    Timestamp firstSeen;
    Timestamp lastActive;
};

/** Records of flows, ordered by the time of their last packet. `Flow` must derive from RecentFlow. */
template<typename Flow>
class RecentFlows
{
public:
    /** Beyond `limit` flows, the least recently active one is evicted. */
    explicit RecentFlows(std::size_t limit = std::numeric_limits<std::size_t>::max())
        : limit_(limit)
    {
    }

    Flow *find(const FlowTuple &tuple)
    {
        const auto found = flows_.find(tuple);
        return found == flows_.end() ? nullptr : &found->second;
    }

    /** Returns the flow's record, created if there is none, and makes it the most recently active one. */
    Flow &touch(Timestamp now, const FlowTuple &tuple)
    {
        const auto [position, inserted] = flows_.try_emplace(tuple);
        Flow &flow = position->second;
        if (inserted) {
            flow.tuple = tuple;
            flow.firstSeen = now;
        } else {
            byActivity_.erase(byActivity_.iterator_to(flow));
        }
        flow.lastActive = now;
        byActivity_.push_back(flow);
        if (flows_.size() > limit_) {
            erase(FlowTuple(byActivity_.front().tuple));
        }
        return flow;
    }

    void erase(const FlowTuple &tuple)
    {
        const auto found = flows_.find(tuple);
        if (found == flows_.end()) {
            return;
        }
        byActivity_.erase(byActivity_.iterator_to(found->second));
        flows_.erase(found);
    }

    /** Calls `expired` for each flow without a packet for `idle`, and erases it. */
    template<typename Visitor>
    void expire(Timestamp now, Milliseconds idle, Visitor expired)
    {
        while (!byActivity_.empty() && now - byActivity_.front().lastActive >= idle) {
            expired(byActivity_.front());
            erase(FlowTuple(byActivity_.front().tuple));
        }
    }

    template<typename Visitor>
    void forEach(Visitor visit)
    {
        for (Flow &flow : byActivity_) {
            visit(flow);
        }
    }

    std::size_t size() const
    {
        return flows_.size();
    }

private:
    using Order = boost::intrusive::list<Flow, boost::intrusive::constant_time_size<false>>;

    std::size_t limit_;
    std::unordered_map<FlowTuple, Flow> flows_;
    Order byActivity_;
};

} // namespace rhubarblane

#endif
