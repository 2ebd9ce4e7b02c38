#ifndef RHUBARBLANE_MODEL_STOREDRESOURCE_H
#define RHUBARBLANE_MODEL_STOREDRESOURCE_H

#include "base/outcome.h"

#include <cpprest/json.h>

#include <cstdint>
#include <string>
#include <vector>

namespace rhubarblane
{

/** The content of one resource in the store. */
struct StoredResource {
    /** Incremented by one with each change of the spec. */
    std::uint64_t generation = 0;
    web::json::value spec;
};

std::string formatStoredResource(const StoredResource &resource);
Outcome<StoredResource> parseStoredResource(const std::string &text);

/** The token and key of a write that took effect. */
struct RecordedWrite {
    std::string token;
    std::string key;
};

/**
 * The value of the version key: the latest writes, newest last. A writer that received no response finds its token
 * here if the write took effect, even if it was a deletion. The oldest writes beyond the limit are dropped.
 */
struct RecordedWrites {
    static constexpr std::size_t Limit = 32;

    std::vector<RecordedWrite> writes;

    const RecordedWrite *find(const std::string &token) const;
    void add(const RecordedWrite &write);
};

std::string formatRecordedWrites(const RecordedWrites &writes);

/** Parses the value of the version key. Returns an empty list if the text is not a list of writes. */
RecordedWrites parseRecordedWrites(const std::string &text);

} // namespace rhubarblane

#endif
