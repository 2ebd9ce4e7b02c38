#ifndef RHUBARBLANE_STORE_CONFIGSTORE_H
#define RHUBARBLANE_STORE_CONFIGSTORE_H

#include "base/clock.h"
#include "base/ids.h"
#include "base/outcome.h"

#include <optional>
#include <string>
#include <vector>

namespace rhubarblane
{

using LeaseId = StrongId<struct LeaseTag>;

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

/** A condition of a transaction: the key's modification revision; Revision() expects that the key does not exist. */
struct StoreCompare {
    std::string key;
    Revision modified;
};

/** Puts a value, or deletes the key if there is no value. A put with a lease lives as long as the lease. */
struct StoreWrite {
    std::string key;
    std::optional<std::string> value;
    LeaseId lease;
};

/** Does all writes at one revision if all compares hold, otherwise nothing. */
struct StoreTransaction {
    std::vector<StoreCompare> compares;
    std::vector<StoreWrite> writes;
};

/** A change of one key; without a value it was deleted. */
struct StoredChange {
    std::string key;
    std::optional<std::string> value;
    Revision modified;
};

/**
 * The platform's key-value service. Calls block up to their deadline and must not run on the packet thread.
 * Unavailable: the call had no effect. Unknown: a write may have taken effect. Conflict: a compare failed.
 */
class ConfigStore
{
public:
    virtual ~ConfigStore() = default;

    virtual Outcome<StoredRange> range(const std::string &prefix) = 0;

    /** Like range(), but the answer may be some seconds old and costs the store less, if it offers that. */
    virtual Outcome<StoredRange> cachedRange(const std::string &prefix)
    {
        return range(prefix);
    }

    /** Returns the revision of the transaction. */
    virtual Outcome<Revision> commit(const StoreTransaction &transaction) = 0;

    /**
     * Waits up to `timeout` for changes below a prefix, from revision `from` on, and returns them in order of their
     * revisions; all changes of one revision are in the same answer. Empty after the timeout. NotFound if the store
     * no longer has the changes from that revision on.
     */
    virtual Outcome<std::vector<StoredChange>>
    watch(const std::string &prefix, Revision from, Milliseconds timeout) = 0;

    /** Ends waiting watches, and all later ones at once, with Unavailable. For the end of the process. */
    virtual void cancelWatches() = 0;

    virtual Outcome<LeaseId> grantLease(Milliseconds duration) = 0;

    /** NotFound if the lease has expired. */
    virtual std::optional<Error> keepLeaseAlive(LeaseId lease) = 0;

    /** Ends the lease and deletes the keys that were put with it. */
    virtual std::optional<Error> revokeLease(LeaseId lease) = 0;
};

} // namespace rhubarblane

#endif
