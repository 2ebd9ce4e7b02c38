#ifndef RHUBARBLANE_AGENT_FLOWTABLE_H
#define RHUBARBLANE_AGENT_FLOWTABLE_H

#include "agent/agentaction.h"
#include "base/clock.h"

#include <boost/intrusive/list.hpp>

#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace rhubarblane
{

/** Identifies one process: a target and its incarnation. */
struct MemberKey {
    TargetId target;
    std::uint64_t incarnation = 0;

    friend bool operator==(const MemberKey &a, const MemberKey &b)
    {
        return a.target == b.target && a.incarnation == b.incarnation;
    }
    friend bool operator!=(const MemberKey &a, const MemberKey &b)
    {
        return !(a == b);
    }
    friend bool operator<(const MemberKey &a, const MemberKey &b)
    {
        return a.target != b.target ? a.target < b.target : a.incarnation < b.incarnation;
    }
};

using ActivityHook = boost::intrusive::list_base_hook<boost::intrusive::tag<struct ActivityTag>>;
using SilenceHook = boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/** A delivered packet, kept to recognize duplicates. */
struct RecentPacket {
    std::uint64_t fingerprint = 0;
    Timestamp delivered;
};

/** One flow that the local target serves. */
struct FlowRecord : ActivityHook {
    FlowTuple flow;
    FlowNumber number;
    /** Fingerprint of the opening packet. */
    std::uint64_t fingerprint = 0;
    /**
     * Latest UDP packets after the opening packet, oldest first. They are kept only where a duplicate would run a
     * request twice.
     */
    std::vector<RecentPacket> recentPackets;
    Timestamp opened;
    Timestamp lastFromCaller;
    Timestamp lastFromTarget;
    /** The home that has acknowledged this flow, if any. */
    std::optional<MemberKey> registeredHome;
    /**
     * TCP sequence and acknowledgement numbers of the caller's last segment, used to build a reset towards the caller.
     */
    std::uint32_t callerSequence = 0;
    std::uint32_t callerAcknowledgement = 0;
    /** Times since which an answer of the target or of the caller is awaited; valid while the hook below is linked. */
    Timestamp awaitsTargetSince;
    Timestamp awaitsCallerSince;
    SilenceHook awaitsTarget;
    SilenceHook awaitsCaller;
    /** Whether the request occupies a slot; it does until its answer is complete. */
    bool active = false;
    /** Whether the caller has yet to complete the TCP handshake. */
    bool halfOpen = false;
    bool finFromCaller = false;
    bool finFromTarget = false;
    bool closing = false;
    bool answered = false;
};

/** The flows that the local target serves. This table is the only authoritative record of them. */
class FlowTable
{
public:
    FlowRecord *find(const FlowTuple &flow);

    /** Adds a record with a new flow number. The flow must not be in the table. */
    FlowRecord &insert(const FlowTuple &flow, Timestamp now);

    void erase(const FlowTuple &flow);

    /** Moves a record to the end of the activity order. */
    void touch(FlowRecord &record);

    /** Returns the least recently active record; null if the table is empty. */
    FlowRecord *oldest();

    /** Returns the number of the flow added last. */
    FlowNumber lastNumber() const
    {
        return FlowNumber(nextNumber_ - 1);
    }

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

    template<typename Visitor>
    void forEach(Visitor visitor)
    {
        for (FlowRecord &record : order_) {
            visitor(record);
        }
    }

private:
    std::unordered_map<FlowTuple, std::unique_ptr<FlowRecord>> records_;
    boost::intrusive::list<FlowRecord, boost::intrusive::base_hook<ActivityHook>> order_;
    std::uint64_t nextNumber_ = 1;
};

} // namespace rhubarblane

#endif
