#ifndef RHUBARBLANE_STORE_CONFIGSTORE_H
#define RHUBARBLANE_STORE_CONFIGSTORE_H

#include "base/clock.h"
#include "base/ids.h"
#include "base/outcome.h"
#include "base/storeposition.h"

#include <optional>
#include <string>
#include <vector>

namespace rhubarblane
{

using LeaseId = StrongId<struct LeaseTag>;

/** A lease of one era of the store. A restored store may give out the same id again for another lease. */
struct GrantedLease {
    StoreEra era;
    LeaseId id;
};

/** One key of the store with its value. */
struct StoredValue {
    std::string key;
    std::string value;
    Revision modified;
};

/** All keys below a prefix, as of one position of the store. The revisions of the values belong to the same era. */
struct StoredRange {
    StorePosition asOf;
    std::vector<StoredValue> values;
};

/** Condition of a transaction: the key has this modification revision, or does not exist if it is Revision(). */
struct StoreCompare {
    std::string key;
    Revision modified;
};

/** Puts a value, or deletes the key if there is no value. A key put with a lease is deleted when the lease ends. */
struct StoreWrite {
    std::string key;
    std::optional<std::string> value;
    LeaseId lease;
};

/** Applies all writes at one revision if all compares succeed, otherwise none. */
struct StoreTransaction {
    std::vector<StoreCompare> compares;
    std::vector<StoreWrite> writes;
};

/** A change of one key; no value means that the key was deleted. */
struct StoredChange {
    std::string key;
    std::optional<std::string> value;
    Revision modified;
};

/**
 * The platform's key-value service. Calls block up to their timeout and must not run on the packet thread. Unavailable
 * means that the call had no effect, Unknown that a write may have taken effect, Conflict that a compare failed.
 */
class ConfigStore
{
public:
    virtual ~ConfigStore() = default;

    virtual Outcome<StoredRange> range(const std::string &prefix) = 0;

    /** Like range(), but stores with a cache may return data that is some seconds old, at a lower cost. */
    virtual Outcome<StoredRange> cachedRange(const std::string &prefix)
    {
        return range(prefix);
    }

    /** Returns the position of the transaction. */
    virtual Outcome<StorePosition> commit(const StoreTransaction &transaction) = 0;

    /**
     * Waits up to `timeout` for changes below a prefix, from position `from` on, and returns them in order of their
     * revisions; all changes of one revision are in the same result. Returns an empty list after the timeout. Fails
     * with NotFound if the store does not have the changes from that position on, also because it was restored since.
     */
    virtual Outcome<std::vector<StoredChange>>
    watch(const std::string &prefix, StorePosition from, Milliseconds timeout) = 0;

    /** Makes current and all later watches fail immediately with Unavailable. Used to stop the process. */
    virtual void cancelWatches() = 0;

    virtual Outcome<GrantedLease> grantLease(Milliseconds duration) = 0;

    /** Renews the lease. Fails with NotFound if it has expired, or if the store was restored since its grant. */
    virtual std::optional<Error> keepLeaseAlive(GrantedLease lease) = 0;

    /**
     * Revokes the lease, which deletes the keys that were put with it. Does nothing if an answer has shown that the
     * store was restored since the grant.
     */
    virtual std::optional<Error> revokeLease(GrantedLease lease) = 0;
};

} // namespace rhubarblane

#endif
