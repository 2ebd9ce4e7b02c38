#ifndef RHUBARBLANE_MEMBERSHIP_ENTRYVERSION_H
#define RHUBARBLANE_MEMBERSHIP_ENTRYVERSION_H

#include "wire/generated/rhubarblane.pb.h"

#include <cstdint>

namespace rhubarblane
{

/** Orders the entries of one balancer or target. */
struct EntryVersion {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    wire::MemberState state = wire::JOINING;

    bool isGone() const
    {
        return state == wire::GONE;
    }

    /** A state declared by others for the same sequence wins, so GONE stands until its owner raises the sequence. */
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

/** What a merge did with an entry. */
enum class MergeResult {
    Newer, ///< The table took it over.
    Same, ///< Known already.
    Older, ///< The table has a newer one and kept it.
    Missing, ///< A change of an entry that the table does not have.
};

} // namespace rhubarblane

#endif
