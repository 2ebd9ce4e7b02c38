#ifndef RHUBARBLANE_MEMBERSHIP_ENTRYTABLE_H
#define RHUBARBLANE_MEMBERSHIP_ENTRYTABLE_H

#include "membership/digestindex.h"

#include <optional>
#include <utility>
#include <vector>

namespace rhubarblane
{

/** A table of versioned entries that anti-entropy compares with a peer's table. */
class EntryTable
{
public:
    virtual ~EntryTable() = default;

    virtual const DigestIndex &digests() const = 0;

    virtual std::size_t liveCount() const = 0;

    /** The live entries of a leaf in order of id. */
    virtual std::vector<std::pair<std::uint64_t, EntryVersion>> liveEntriesIn(std::uint32_t leaf) const = 0;

    /** The version of an entry or its tombstone. */
    virtual std::optional<EntryVersion> find(std::uint64_t id) const = 0;

    /** Appends the whole entry to the message; false if there is none. */
    virtual bool append(std::uint64_t id, wire::Gossip &message) const = 0;
};

} // namespace rhubarblane

#endif
