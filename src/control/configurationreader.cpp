#include "control/configurationreader.h"

#include "control/configurationwriter.h"

#include <algorithm>
#include <utility>

namespace rhubarblane
{

namespace
{

constexpr Milliseconds InitialBackoff(100);
constexpr Milliseconds MaximumBackoff(5000);
constexpr Milliseconds NoWait(0);

/** Applies changes to a snapshot. Returns false if the last revision changed objects without the version key. */
bool applyChanges(ConfigurationSnapshot &snapshot, const std::vector<StoredChange> &changes)
{
    for (const StoredChange &change : changes) {
        if (change.value) {
            snapshot.entries[change.key] = {*change.value, change.modified};
        } else {
            snapshot.entries.erase(change.key);
        }
        if (change.key == configurationVersionKey) {
            snapshot.revision = change.modified;
        }
    }
    return snapshot.revision == changes.back().modified;
}

} // namespace

ConfigurationReader::ConfigurationReader(ReaderSettings settings,
                                         ConfigStore &store,
                                         ConfigurationCore &core,
                                         std::function<bool()> isCandidate,
                                         std::mt19937_64 random)
    : settings_(std::move(settings))
    , store_(store)
    , core_(core)
    , isCandidate_(std::move(isCandidate))
    , backoff_(InitialBackoff, MaximumBackoff, random)
{
}

std::string ConfigurationReader::readerKey() const
{
    return "/rhubarblane/reader/" + settings_.region + "/holder";
}

Milliseconds ConfigurationReader::step(Timestamp now)
{
    if (isReader_) {
        return read(now);
    }
    return isCandidate_() ? tryToBecomeReader(now) : backoff_.jitter(settings_.candidatePollInterval);
}

Milliseconds ConfigurationReader::failed(const Error &error)
{
    if (error.code == ErrorCode::NotFound) {
        // The lease has expired; another balancer may already be the reader.
        isReader_ = false;
        lease_ = GrantedLease();
    }
    return backoff_.next();
}

Milliseconds ConfigurationReader::tryToBecomeReader(Timestamp now)
{
    const Outcome<StoredRange> holder = store_.range(readerKey());
    if (!isOk(holder)) {
        return failed(errorOf(holder));
    }
    if (valueOf(holder).values.empty()) {
        return acquireReaderKey(now);
    }
    if (valueOf(holder).values.front().value == settings_.identity && lease_.id != LeaseId()) {
        // An earlier transaction took effect although its response was lost.
        isReader_ = true;
        lastRenewal_ = Timestamp(0);
        needsFullRead_ = true;
        return NoWait;
    }
    backoff_.reset();
    return backoff_.jitter(settings_.candidatePollInterval);
}

Milliseconds ConfigurationReader::acquireReaderKey(Timestamp now)
{
    if (lease_.id == LeaseId()) {
        const Outcome<GrantedLease> lease = store_.grantLease(settings_.leaseDuration);
        if (!isOk(lease)) {
            return failed(errorOf(lease));
        }
        lease_ = valueOf(lease);
    }
    const Outcome<StorePosition> taken =
        store_.commit({{{readerKey(), Revision()}}, {{readerKey(), settings_.identity, lease_.id}}});
    if (isOk(taken)) {
        backoff_.reset();
        isReader_ = true;
        needsFullRead_ = true;
        lastRenewal_ = now;
        return NoWait;
    }
    if (errorOf(taken).code == ErrorCode::Conflict) {
        // Another candidate holds the key. The unused lease expires by itself.
        lease_ = GrantedLease();
        return backoff_.jitter(settings_.candidatePollInterval);
    }
    return failed(errorOf(taken));
}

Milliseconds ConfigurationReader::read(Timestamp now)
{
    if (now - lastRenewal_ >= settings_.renewalInterval) {
        if (const std::optional<Error> error = store_.keepLeaseAlive(lease_)) {
            return failed(*error);
        }
        lastRenewal_ = now;
    }
    if (needsFullRead_) {
        if (const std::optional<Error> error = readAll()) {
            return failed(*error);
        }
        needsFullRead_ = false;
    }
    const Outcome<bool> complete = readChanges();
    if (!isOk(complete)) {
        return failed(errorOf(complete));
    }
    backoff_.reset();
    needsFullRead_ = !valueOf(complete);
    return NoWait;
}

std::optional<Error> ConfigurationReader::readAll()
{
    const Outcome<StoredRange> range = store_.range(configurationPrefix);
    if (!isOk(range)) {
        return errorOf(range);
    }
    nextWatchRevision_ = Revision(valueOf(range).asOf.revision.value() + 1);
    core_.applySnapshot(snapshotOf(valueOf(range)));
    return std::nullopt;
}

/** Waits for changes and applies them. Returns false if all objects must be read again. */
Outcome<bool> ConfigurationReader::readChanges()
{
    const std::shared_ptr<const KnownConfiguration> known = core_.current();
    // Writes through this balancer and replies of peers can be newer than the last change read from the store.
    const Revision from = std::max(nextWatchRevision_, Revision(known->snapshot.revision.value() + 1));
    const Outcome<std::vector<StoredChange>> changes =
        store_.watch(configurationPrefix, {StoreEra(), from}, settings_.renewalInterval);
    if (!isOk(changes)) {
        if (errorOf(changes).code == ErrorCode::NotFound) {
            return false;
        }
        return errorOf(changes);
    }
    if (valueOf(changes).empty()) {
        return true;
    }
    ConfigurationSnapshot snapshot = known->snapshot;
    if (!applyChanges(snapshot, valueOf(changes))) {
        return false;
    }
    nextWatchRevision_ = Revision(snapshot.revision.value() + 1);
    core_.applySnapshot(std::move(snapshot));
    return true;
}

void ConfigurationReader::release()
{
    if (isReader_) {
        store_.revokeLease(lease_);
    }
    isReader_ = false;
    lease_ = GrantedLease();
}

} // namespace rhubarblane
