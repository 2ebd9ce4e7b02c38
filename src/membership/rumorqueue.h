#ifndef RHUBARBLANE_MEMBERSHIP_RUMORQUEUE_H
#define RHUBARBLANE_MEMBERSHIP_RUMORQUEUE_H

#include "membership/bytebudget.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace rhubarblane
{

/** A change of an entry that is still to be sent to random peers. */
struct Rumor {
    bool target = false;
    std::uint64_t id = 0;
    /** True if only the version is sent, because the receivers already have the rest of the entry. */
    bool changeOnly = false;
    TrafficClass traffic = TrafficClass::Target;
    /** Transmissions left within the region. */
    std::uint32_t transmissions = 0;
    /** Transmissions left to each other region; 0 unless this balancer is a bridge. */
    std::uint32_t remoteTransmissions = 0;
};

/** The rumors that a process has to send, at most one per entry. */
class RumorQueue
{
public:
    /**
     * With more rumors than this, each is sent less often, because anti-entropy transfers many entries in fewer bytes.
     */
    static constexpr std::size_t ReducedTransmissionsThreshold = 30;

    /**
     * With this many rumors, further full entries are left to anti-entropy, so that a joining balancer does not queue
     * whole tables.
     */
    static constexpr std::size_t FullEntryLimit = 500;

    /** Replaces an earlier rumor about the same entry. */
    void add(const Rumor &rumor);
    /** Records that a peer sent the same version. With many rumors in the queue, this saves one transmission. */
    void recordDuplicate(bool target, std::uint64_t id);
    /** Records transmissions and removes the rumor after the last one. */
    void recordSent(bool target, std::uint64_t id, std::uint32_t transmissions, std::uint32_t remoteTransmissions);

    /** Returns the next rumors to send, ordered by traffic class and then by most transmissions left. */
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
