#ifndef RHUBARBLANE_AGENT_PLACEMENTLOG_H
#define RHUBARBLANE_AGENT_PLACEMENTLOG_H

#include "agent/flowtable.h"

#include <deque>
#include <unordered_map>

namespace rhubarblane
{

/**
 * The placement attempts that this candidate has declined, or that their home has cancelled.
 * Late duplicates of such a Place message must not be accepted, because another candidate may own the flow by then.
 */
class PlacementLog
{
public:
    /** The stage to which this candidate has handled an attempt. */
    enum class Stage { Offered, Final };

    /** Records a stage of an attempt. Returns false if this or a later stage has already been recorded. */
    bool record(Timestamp now, const FlowTuple &flow, const MemberKey &home, std::uint64_t attempt, Stage stage);

    bool isRecorded(const FlowTuple &flow, const MemberKey &home, std::uint64_t attempt, Stage stage) const;

    void expire(Timestamp now);

private:
    struct Entry {
        MemberKey home;
        std::uint64_t attempt = 0;
        Stage stage = Stage::Offered;
        Timestamp recorded;
    };

    std::unordered_map<FlowTuple, Entry> entries_;
    std::deque<std::pair<Timestamp, FlowTuple>> order_;
};

} // namespace rhubarblane

#endif
