#ifndef RHUBARBLANE_AGENT_ENDEDFLOWS_H
#define RHUBARBLANE_AGENT_ENDEDFLOWS_H

#include "agent/flowtable.h"

#include <deque>
#include <optional>
#include <unordered_map>

namespace rhubarblane
{

/** A flow that ended. The record is kept while duplicates of the opening packet may still arrive. */
struct EndedFlow {
    FlowTuple flow;
    std::uint64_t fingerprint = 0;
    MemberKey owner;
    std::uint64_t number = 0;
    Timestamp ended;
    std::optional<MemberKey> registeredHome;
};

/** The ended flows known to this agent. A record is kept for the majority lease plus the packet lifetime. */
class EndedFlows
{
public:
    /** Returns null if no flow with this opening packet is known to have ended. */
    EndedFlow *find(const FlowTuple &flow, std::uint64_t fingerprint);

    /** Adds a flow, whose retention starts at `now`. */
    void add(Timestamp now, const EndedFlow &ended);

    void expire(Timestamp now);

    std::size_t size() const
    {
        return flows_.size();
    }

    template<typename Visitor>
    void forEach(Visitor visitor)
    {
        for (const auto &[time, key] : order_) {
            const auto position = flows_.find(key);
            if (position != flows_.end()) {
                visitor(position->second);
            }
        }
    }

private:
    struct Key {
        FlowTuple flow;
        std::uint64_t fingerprint = 0;
        friend bool operator==(const Key &a, const Key &b)
        {
            return a.fingerprint == b.fingerprint && a.flow == b.flow;
        }
    };
    struct KeyHash {
        std::size_t operator()(const Key &key) const noexcept;
    };

    std::unordered_map<Key, EndedFlow, KeyHash> flows_;
    std::deque<std::pair<Timestamp, Key>> order_;
};

} // namespace rhubarblane

#endif
