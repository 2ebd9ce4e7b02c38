#include "base/hash.h"

#include <xxhash.h>

namespace rhubarblane
{

std::uint64_t hashBytes(std::string_view bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::uint64_t hashPair(std::uint64_t a, std::uint64_t b)
{
    const std::uint64_t words[2] = {a, b};
    return XXH3_64bits(words, sizeof(words));
}

} // namespace rhubarblane
