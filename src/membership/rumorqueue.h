#ifndef RHUBARBLANE_MEMBERSHIP_RUMORQUEUE_H
#define RHUBARBLANE_MEMBERSHIP_RUMORQUEUE_H

#include "membership/bytebudget.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace rhubarblane
{

/** A change of an entry that still has to be sent to random peers. */
struct Rumor {
    bool target = false;
    std::uint64_t id = 0;
    /** Send only the version, because the receivers know the rest of the entry. */
    bool changeOnly = false;
    TrafficClass traffic = TrafficClass::Target;
    std::uint32_t transmissions = 0;
    /** Transmissions to each other region, made by bridges only. */
    std::uint32_t remoteTransmissions = 0;
};

/** The rumors of a process; at most one for each entry. */
class RumorQueue
{
public:
    /** With more rumors than this, each is sent less often and anti-entropy does the rest in fewer bytes. */
    static constexpr std::size_t ReducedFanoutThreshold = 30;

    /** Whole entries beyond this are left to anti-entropy, so that a joining balancer does not queue whole tables. */
    static constexpr std::size_t WholeEntryLimit = 500;

    /** Replaces an earlier rumor about the same entry. */
    void add(const Rumor &rumor);
    /** A peer sent the same version: while there are many rumors, one transmission less is needed. */
    void recordDuplicate(bool target, std::uint64_t id);
    /** Counts a transmission and drops the rumor after its last one. */
    void recordSent(bool target, std::uint64_t id, std::uint32_t transmissions, std::uint32_t remoteTransmissions);

    /** The next rumors with transmissions left, the least often sent first within each class. */
    std::vector<Rumor> pending(bool remote) const;

    std::size_t size() const
    {
        return rumors_.size();
    }

private:
    std::map<std::pair<bool, std::uint64_t>, Rumor> rumors_;
};

} // namespace rhubarblane

#endif
