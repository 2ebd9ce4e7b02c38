#include "membership/digestindex.h"

#include "base/hash.h"

namespace rhubarblane
{

DigestIndex::DigestIndex()
    : leaves_(static_cast<std::size_t>(Groups) * LeavesPerGroup, 0)
{
}

void DigestIndex::toggle(std::uint64_t id, const EntryVersion &version)
{
    std::uint64_t digest = hashPair(id, version.incarnation);
    digest = hashPair(digest, version.sequence);
    digest = hashPair(digest, static_cast<std::uint64_t>(version.state));
    root_ ^= digest;
    leaves_[leafOf(id)] ^= static_cast<std::uint32_t>(digest >> 32);
}

std::uint32_t DigestIndex::group(std::uint32_t group) const
{
    std::uint32_t result = 0;
    for (std::uint32_t i = 0; i < LeavesPerGroup; ++i) {
        // The multiplication prevents equal changes in two leaves from cancelling each other out.
        result = result * 31 + leaves_[group * LeavesPerGroup + i];
    }
    return result;
}

} // namespace rhubarblane
