#ifndef RHUBARBLANE_BASE_HASH_H
#define RHUBARBLANE_BASE_HASH_H

#include <cstdint>
#include <string_view>

namespace rhubarblane
{

/** XXH3 64-bit hash; the same on every VM. */
std::uint64_t hashBytes(std::string_view bytes);

/** Hash of two words, for rendezvous scores and digests. */
std::uint64_t hashPair(std::uint64_t a, std::uint64_t b);

} // namespace rhubarblane

#endif
