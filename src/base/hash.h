#ifndef RHUBARBLANE_BASE_HASH_H
#define RHUBARBLANE_BASE_HASH_H

#include <cstdint>
#include <string_view>

namespace rhubarblane
{

/** Returns the 64-bit XXH3 hash of the bytes. It is the same on every VM. */
std::uint64_t hashBytes(std::string_view bytes);

/** Returns the hash of two 64-bit words, used for rendezvous scores and digests. */
std::uint64_t hashPair(std::uint64_t a, std::uint64_t b);

} // namespace rhubarblane

#endif
