#ifndef RHUBARBLANE_MEMBERSHIP_ENTRYVERSION_H
#define RHUBARBLANE_MEMBERSHIP_ENTRYVERSION_H

#include "wire/generated/rhubarblane.pb.h"

#include <cstdint>

namespace rhubarblane
{

/** Version of an entry, by which the entries of the same balancer or target are ordered. */
struct EntryVersion {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    wire::MemberState state = wire::JOINING;

    bool isGone() const
    {
        return state == wire::GONE;
    }

    /**
     * For equal sequences the higher state wins, so a GONE declared by another member stays in effect until the owner
     * of the entry raises the sequence.
     */
    friend bool operator<(const EntryVersion &a, const EntryVersion &b)
    {
        if (a.incarnation != b.incarnation) {
            return a.incarnation < b.incarnation;
        }
        if (a.sequence != b.sequence) {
            return a.sequence < b.sequence;
        }
        return a.state < b.state;
    }
    friend bool operator==(const EntryVersion &a, const EntryVersion &b)
    {
        return a.incarnation == b.incarnation && a.sequence == b.sequence && a.state == b.state;
    }
};

template<typename Entry>
EntryVersion versionOf(const Entry &entry)
{
    return EntryVersion {entry.incarnation(), entry.sequence(), entry.state()};
}

inline wire::EntryVersion toChange(std::uint64_t id, const EntryVersion &version)
{
    wire::EntryVersion change;
    change.set_id(id);
    change.set_incarnation(version.incarnation);
    change.set_sequence(version.sequence);
    change.set_state(version.state);
    return change;
}

/** Result of merging an entry into a table. */
enum class MergeResult {
    Newer, ///< The entry was stored.
    Same, ///< The table already has this version.
    Older, ///< The table has a newer version and kept it.
    Missing, ///< The change refers to an entry or incarnation that the table does not have.
};

} // namespace rhubarblane

#endif
