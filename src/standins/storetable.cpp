#include "standins/storetable.h"

namespace rhubarblane
{

namespace
{

bool isInside(const std::string &key, const std::string &begin, const std::string &end)
{
    // In etcd an empty end selects the single key, and a zero byte selects all keys from the begin on.
    if (end.empty()) {
        return key == begin;
    }
    return key >= begin && (end == std::string(1, '\0') || key < end);
}

} // namespace

StoredRange StoreTable::range(const std::string &begin, const std::string &end) const
{
    StoredRange result;
    result.asOf.revision = Revision(revision_);
    for (auto it = entries_.lower_bound(begin); it != entries_.end() && isInside(it->first, begin, end); ++it) {
        result.values.push_back({it->first, it->second.value, it->second.modified});
    }
    return result;
}

Outcome<Revision> StoreTable::commit(const StoreTransaction &transaction)
{
    for (const StoreCompare &compare : transaction.compares) {
        const auto entry = entries_.find(compare.key);
        if ((entry == entries_.end() ? Revision() : entry->second.modified) != compare.modified) {
            return Error {ErrorCode::Conflict, {}, "compare failed"};
        }
    }
    for (const StoreWrite &write : transaction.writes) {
        if (write.lease != LeaseId() && leases_.count(write.lease.value()) == 0) {
            return Error {ErrorCode::NotFound, {}, "requested lease not found"};
        }
    }
    if (!transaction.writes.empty()) {
        ++revision_;
    }
    for (const StoreWrite &write : transaction.writes) {
        apply(write);
    }
    return Revision(revision_);
}

void StoreTable::apply(const StoreWrite &write)
{
    if (write.value) {
        entries_[write.key] = {*write.value, Revision(revision_), write.lease};
    } else if (entries_.erase(write.key) == 0) {
        return;
    }
    history_.push_back({write.key, write.value, Revision(revision_)});
}

Outcome<std::vector<StoredChange>>
StoreTable::changes(const std::string &begin, const std::string &end, Revision from) const
{
    if (from.value() <= compacted_) {
        return Error {ErrorCode::NotFound, {}, "required revision has been compacted"};
    }
    std::vector<StoredChange> result;
    for (const StoredChange &change : history_) {
        if (from <= change.modified && isInside(change.key, begin, end)) {
            result.push_back(change);
        }
    }
    return result;
}

LeaseId StoreTable::grantLease(Timestamp now, Milliseconds duration)
{
    const std::uint64_t lease = ++nextLease_;
    leases_[lease] = {duration, now + duration};
    return LeaseId(lease);
}

bool StoreTable::keepLeaseAlive(Timestamp now, LeaseId lease)
{
    expireLeases(now);
    const auto entry = leases_.find(lease.value());
    if (entry == leases_.end()) {
        return false;
    }
    entry->second.expires = now + entry->second.duration;
    return true;
}

void StoreTable::revokeLease(LeaseId lease)
{
    leases_.erase(lease.value());
    std::vector<std::string> keys;
    for (const auto &[key, entry] : entries_) {
        if (entry.lease == lease) {
            keys.push_back(key);
        }
    }
    if (!keys.empty()) {
        ++revision_;
    }
    for (const std::string &key : keys) {
        apply({key, std::nullopt, {}});
    }
}

void StoreTable::expireLeases(Timestamp now)
{
    std::vector<LeaseId> expired;
    for (const auto &[lease, state] : leases_) {
        if (state.expires <= now) {
            expired.emplace_back(lease);
        }
    }
    for (const LeaseId lease : expired) {
        revokeLease(lease);
    }
}

void StoreTable::expireAllLeases()
{
    while (!leases_.empty()) {
        revokeLease(LeaseId(leases_.begin()->first));
    }
}

void StoreTable::compact()
{
    compacted_ = revision_;
    history_.clear();
}

} // namespace rhubarblane
