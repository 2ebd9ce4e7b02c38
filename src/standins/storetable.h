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

/** The content of a stand-in store: keys with revisions, their history, and leases. Has no clock and no threads. */
class StoreTable
{
public:
    StoredRange range(const std::string &begin, const std::string &end) const;

    /** Conflict if a compare fails, NotFound if a lease does not exist. */
    Outcome<Revision> commit(const StoreTransaction &transaction);

    /** Changes from a revision on; NotFound if they are compacted. */
    Outcome<std::vector<StoredChange>> changes(const std::string &begin, const std::string &end, Revision from) const;

    LeaseId grantLease(Timestamp now, Milliseconds duration);
    bool keepLeaseAlive(Timestamp now, LeaseId lease);
    void revokeLease(LeaseId lease);

    /** Ends the leases whose time is over. */
    void expireLeases(Timestamp now);
    void expireAllLeases();

    /** Forgets the history up to the current revision. */
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
