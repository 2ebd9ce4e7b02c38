#ifndef RHUBARBLANE_AGENT_ENDEDFLOWS_H
#define RHUBARBLANE_AGENT_ENDEDFLOWS_H

#include "agent/flowtable.h"

#include <deque>
#include <optional>
#include <unordered_map>

namespace rhubarblane
{

/** A flow that ended; kept while copies of its opening packet may be under way. */
struct EndedFlow {
    FlowTuple flow;
    std::uint64_t fingerprint = 0;
    MemberKey owner;
    std::uint64_t number = 0;
    Timestamp ended;
    std::optional<MemberKey> registeredHome;
};

/** The flows that this agent knows to have ended within the packet lifetime. */
class EndedFlows
{
public:
    /** Null if no flow with this opening packet is known to have ended. */
    EndedFlow *find(const FlowTuple &flow, std::uint64_t fingerprint);

    /** Remembers a flow from `now` on. */
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
