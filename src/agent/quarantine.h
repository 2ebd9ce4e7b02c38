#ifndef RHUBARBLANE_AGENT_QUARANTINE_H
#define RHUBARBLANE_AGENT_QUARANTINE_H

#include "base/clock.h"
#include "base/ids.h"

#include <iterator>
#include <map>

namespace rhubarblane
{

/** Maximum time for which a packet is assumed to survive in the network. */
constexpr Milliseconds PacketLifetime(10000);
/** Time for which the confirmation of the roster by a peer is valid. */
constexpr Milliseconds MajorityLease(2000);

/**
 * Members that were lost recently: declared gone without having left, or replaced by a newer incarnation. A lost member
 * may have decided flows until its lease expired, and duplicates of their opening packets may arrive for the packet
 * lifetime after that.
 */
class Quarantine
{
public:
    void add(Timestamp now, std::uint64_t target)
    {
        ends_[target] = now + MajorityLease + PacketLifetime;
    }

    /** Restarts all waits, for use when the elapsed time is unknown. */
    void restart(Timestamp now)
    {
        for (auto &[target, end] : ends_) {
            end = now + MajorityLease + PacketLifetime;
        }
    }

    bool contains(Timestamp now, std::uint64_t target) const
    {
        const auto position = ends_.find(target);
        return position != ends_.end() && now < position->second;
    }

    template<typename Predicate>
    bool containsAny(Timestamp now, Predicate predicate) const
    {
        for (const auto &[target, end] : ends_) {
            if (now < end && predicate(TargetId(target))) {
                return true;
            }
        }
        return false;
    }

    void expire(Timestamp now)
    {
        for (auto position = ends_.begin(); position != ends_.end();) {
            position = now >= position->second ? ends_.erase(position) : std::next(position);
        }
    }

private:
    std::map<std::uint64_t, Timestamp> ends_;
};

} // namespace rhubarblane

#endif
