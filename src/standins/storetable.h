#ifndef RHUBARBLANE_STANDINS_STORETABLE_H
#define RHUBARBLANE_STANDINS_STORETABLE_H

#include "store/configstore.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace rhubarblane
{

/** The content of the store stand-in: keys with revisions, their history, and leases. It has no clock or threads. */
class StoreTable
{
public:
    StoredRange range(const std::string &begin, const std::string &end) const;

    /** Commits a transaction. Returns Conflict if a compare fails and NotFound if a lease does not exist. */
    Outcome<Revision> commit(const StoreTransaction &transaction);

    /** Returns the changes since a revision, inclusive; NotFound if it has been compacted. */
    Outcome<std::vector<StoredChange>> changes(const std::string &begin, const std::string &end, Revision from) const;

    LeaseId grantLease(Timestamp now, Milliseconds duration);
    /** Renews a lease. Returns false if it does not exist. */
    bool keepLeaseAlive(Timestamp now, LeaseId lease);
    void revokeLease(LeaseId lease);

    /** Expires the leases whose duration has passed. */
    void expireLeases(Timestamp now);
    void expireAllLeases();

    /** Discards the history up to the current revision. */
    void compact();

    Revision revision() const
    {
        return Revision(revision_);
    }

private:
    struct Entry {
        std::string value;
        Revision modified;
        LeaseId lease;
    };
    struct Lease {
        Milliseconds duration;
        Timestamp expires;
    };

    void apply(const StoreWrite &write);

    std::map<std::string, Entry> entries_;
    std::vector<StoredChange> history_;
    std::map<std::uint64_t, Lease> leases_;
    std::uint64_t revision_ = 1;
    std::uint64_t compacted_ = 0;
    std::uint64_t nextLease_ = 1000;
};

} // namespace rhubarblane

#endif
