#ifndef RHUBARBLANE_MEMBERSHIP_DIGESTINDEX_H
#define RHUBARBLANE_MEMBERSHIP_DIGESTINDEX_H

#include "membership/entryversion.h"

#include <cstdint>
#include <vector>

namespace rhubarblane
{

/**
 * A hash tree over a table's live entries for anti-entropy, with 4,096 leaves in 64 groups. Ids are hashes, so their
 * high bits distribute entries evenly over the leaves, and the entries of a leaf are adjacent in a table ordered by id.
 * Tombstones are not part of the digests because they expire at different times on different balancers.
 */
class DigestIndex
{
public:
    static constexpr std::uint32_t Groups = 64;
    static constexpr std::uint32_t LeavesPerGroup = 64;
    static constexpr std::uint32_t LeafBits = 12;

    DigestIndex();

    static std::uint32_t leafOf(std::uint64_t id)
    {
        return static_cast<std::uint32_t>(id >> (64 - LeafBits));
    }

    /** Adds an entry to the digests, or removes it if it is part of them. */
    void toggle(std::uint64_t id, const EntryVersion &version);

    std::uint64_t root() const
    {
        return root_;
    }
    std::uint32_t group(std::uint32_t group) const;
    std::uint32_t leaf(std::uint32_t leaf) const
    {
        return leaves_[leaf];
    }

private:
    std::uint64_t root_ = 0;
    std::vector<std::uint32_t> leaves_;
};

} // namespace rhubarblane

#endif
