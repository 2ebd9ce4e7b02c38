#ifndef RHUBARBLANE_MEMBERSHIP_ENTRYTABLE_H
#define RHUBARBLANE_MEMBERSHIP_ENTRYTABLE_H

#include "membership/digestindex.h"

#include <optional>
#include <utility>
#include <vector>

namespace rhubarblane
{

/** Interface of a table of versioned entries that anti-entropy compares with the table of a peer. */
class EntryTable
{
public:
    virtual ~EntryTable() = default;

    virtual const DigestIndex &digests() const = 0;

    virtual std::size_t liveCount() const = 0;

    /** Returns ids and versions of the live entries of a leaf, ordered by id. */
    virtual std::vector<std::pair<std::uint64_t, EntryVersion>> liveEntriesIn(std::uint32_t leaf) const = 0;

    /** Returns the version of an entry or of its tombstone; none if the id is unknown. */
    virtual std::optional<EntryVersion> find(std::uint64_t id) const = 0;

    /** Appends the full entry to the message. Returns false if there is none. */
    virtual bool append(std::uint64_t id, wire::Gossip &message) const = 0;
};

} // namespace rhubarblane

#endif
