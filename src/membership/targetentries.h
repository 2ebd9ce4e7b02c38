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
 * The entries of all targets with their tombstones. The parts of an entry that do not change with its state are kept
 * encoded, because 92,000 decoded entries do not fit the memory limit.
 */
class TargetEntries : public EntryTable
{
public:
    static constexpr Milliseconds TombstoneLifetime = Milliseconds(3600000);

    MergeResult merge(Timestamp now, const wire::TargetEntry &entry);
    /** Takes over a state change; Missing if the entry or this incarnation of it is not known. */
    MergeResult merge(Timestamp now, const wire::EntryVersion &change);

    /** True if the known entry has the same incarnation and differs in nothing but the sequence. */
    bool isSameContent(const wire::TargetEntry &entry) const;

    void expire(Timestamp now);

    /** The whole entry; a tombstone has only its version. Target 0 if not known. */
    wire::TargetEntry entry(TargetId target) const;
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
