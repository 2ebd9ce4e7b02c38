#ifndef RHUBARBLANE_MEMBERSHIP_TARGETENTRIES_H
#define RHUBARBLANE_MEMBERSHIP_TARGETENTRIES_H

#include "base/clock.h"
#include "base/ids.h"
#include "membership/entrytable.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace rhubarblane
{

/**
 * The entries of all targets with their tombstones. The parts of an entry that do not depend on its state are stored
 * encoded, because 92,000 decoded entries exceed the memory limit.
 */
class TargetEntries : public EntryTable
{
public:
    static constexpr Milliseconds TombstoneLifetime = Milliseconds(3600000);

    MergeResult merge(Timestamp now, const wire::TargetEntry &entry);
    /** Applies a state change. Returns Missing if the entry or this incarnation of it is unknown. */
    MergeResult merge(Timestamp now, const wire::EntryVersion &change);

    /** Returns true if the known entry has the same incarnation and differs at most in the sequence. */
    bool isSameContent(const wire::TargetEntry &entry) const;

    /** Removes tombstones that are older than their lifetime. */
    void expire(Timestamp now);

    /** Returns the full entry; a tombstone has only its version. The target id is 0 if the entry is unknown. */
    wire::TargetEntry entry(TargetId target) const;
    /** Returns the live targets of a service. */
    std::vector<TargetId> liveOf(ServiceId service) const;
    std::size_t liveCount() const override
    {
        return liveCount_;
    }

    const DigestIndex &digests() const override
    {
        return digests_;
    }
    std::vector<std::pair<std::uint64_t, EntryVersion>> liveEntriesIn(std::uint32_t leaf) const override;
    std::optional<EntryVersion> find(std::uint64_t id) const override;
    bool append(std::uint64_t id, wire::Gossip &message) const override;

private:
    struct Record {
        EntryVersion version;
        std::uint64_t service = 0;
        std::string description;
    };

    void replaceVersion(Timestamp now, std::uint64_t id, Record &record, const EntryVersion &version, bool known);

    std::map<std::uint64_t, Record> records_;
    std::unordered_map<std::uint64_t, Timestamp> goneAt_;
    DigestIndex digests_;
    std::size_t liveCount_ = 0;
};

} // namespace rhubarblane

#endif
