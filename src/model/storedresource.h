#ifndef RHUBARBLANE_MODEL_STOREDRESOURCE_H
#define RHUBARBLANE_MODEL_STOREDRESOURCE_H

#include "base/outcome.h"

#include <cpprest/json.h>

#include <cstdint>
#include <string>
#include <vector>

namespace rhubarblane
{

/** The value of one resource in the store. */
struct StoredResource {
    /** Grows by one with each change of the spec. */
    std::uint64_t generation = 0;
    web::json::value spec;
};

std::string formatStoredResource(const StoredResource &resource);
Outcome<StoredResource> parseStoredResource(const std::string &text);

/** A write that took effect. */
struct RecordedWrite {
    std::string token;
    std::string key;
};

/**
 * The value of the version key: the last writes, newest last. A writer that lost an answer finds its token here, also
 * after a deletion. Writes beyond the limit are forgotten.
 */
struct RecordedWrites {
    static constexpr std::size_t Limit = 32;

    std::vector<RecordedWrite> writes;

    const RecordedWrite *find(const std::string &token) const;
    void add(const RecordedWrite &write);
};

std::string formatRecordedWrites(const RecordedWrites &writes);

/** Empty if the text is not a list of writes. */
RecordedWrites parseRecordedWrites(const std::string &text);

} // namespace rhubarblane

#endif
