#ifndef RHUBARBLANE_STORE_CONFIGSTORE_H
#define RHUBARBLANE_STORE_CONFIGSTORE_H

#include "base/ids.h"
#include "base/outcome.h"

#include <string>
#include <vector>

namespace rhubarblane
{

/** One key of the store. */
struct StoredValue {
    std::string key;
    std::string value;
    Revision modified;
};

/** All keys below a prefix, as of one revision of the store. */
struct StoredRange {
    Revision revision;
    std::vector<StoredValue> values;
};

/**
 * The platform's key-value service. Calls block up to their deadline and must not run on the packet thread.
 * Unavailable: the call had no effect. Unknown: a write may have taken effect. Conflict: the compare failed.
 */
class ConfigStore
{
public:
    virtual ~ConfigStore() = default;

    virtual Outcome<StoredRange> range(const std::string &prefix) = 0;

    /** Writes if the key's modification revision is `expected`; Revision() expects that the key does not exist. */
    virtual Outcome<Revision> put(const std::string &key, const std::string &value, Revision expected) = 0;

    /** Deletes under the same condition. */
    virtual Outcome<Revision> erase(const std::string &key, Revision expected) = 0;
};

} // namespace rhubarblane

#endif
