#include "control/configurationwriter.h"

#include "model/storedresource.h"

#include <utility>

namespace rhubarblane
{

namespace
{

using Result = Outcome<std::shared_ptr<const KnownConfiguration>>;

/** Attempts that may fail because of concurrent writers before the write fails with Unavailable. */
constexpr int ConflictAttempts = 8;
/** Attempts to determine the outcome of a transaction without a response. */
constexpr int ResolveAttempts = 4;
constexpr Milliseconds InitialRetryDelay(50);

RecordedWrites recordedWrites(const ConfigurationSnapshot &snapshot)
{
    const auto version = snapshot.entries.find(configurationVersionKey);
    return version == snapshot.entries.end() ? RecordedWrites() : parseRecordedWrites(version->second.value);
}

Error notStored(const std::string &reason)
{
    return {ErrorCode::Unavailable, {}, "not stored: " + reason};
}

Revision modifiedOf(const ConfigurationSnapshot &snapshot, const std::string &key)
{
    const auto entry = snapshot.entries.find(key);
    return entry == snapshot.entries.end() ? Revision() : entry->second.modified;
}

} // namespace

ConfigurationSnapshot snapshotOf(const StoredRange &range)
{
    ConfigurationSnapshot snapshot;
    for (const StoredValue &stored : range.values) {
        if (stored.key == configurationVersionKey) {
            snapshot.revision = stored.modified;
        }
        snapshot.entries[stored.key] = {stored.value, stored.modified};
    }
    return snapshot;
}

ConfigurationWriter::ConfigurationWriter(ConfigStore *store, ConfigurationCore &core, Wait wait)
    : store_(store)
    , core_(core)
    , wait_(std::move(wait))
{
}

Result ConfigurationWriter::refresh()
{
    const Revision before = core_.current()->snapshot.revision;
    const Outcome<StoredRange> version = store_->range(configurationVersionKey);
    if (!isOk(version)) {
        return notStored(errorOf(version).message);
    }
    const Revision stored = valueOf(version).values.empty() ? Revision() : valueOf(version).values.front().modified;
    if (stored < before) {
        // No balancer would apply a configuration written to such a store, because its revision would be too low.
        return notStored("the store has configuration revision " + std::to_string(stored.value())
                         + ", older than the one in force, " + std::to_string(before.value()));
    }
    if (core_.current()->snapshot.revision < stored) {
        const Outcome<StoredRange> range = store_->range(configurationPrefix);
        if (!isOk(range)) {
            return notStored(errorOf(range).message);
        }
        core_.applySnapshot(snapshotOf(valueOf(range)));
    }
    return core_.current();
}

Result ConfigurationWriter::write(const ConfigurationWrite &write)
{
    if (store_ == nullptr) {
        return notStored("this balancer has no store");
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    Milliseconds wait = InitialRetryDelay;
    for (int attempt = 0; attempt < ConflictAttempts; ++attempt) {
        Attempt outcome = attemptWrite(write);
        if (outcome.result) {
            return std::move(*outcome.result);
        }
        wait_(wait);
        wait = wait * 2;
    }
    return notStored("other writers were always first");
}

ConfigurationWriter::Attempt ConfigurationWriter::attemptWrite(const ConfigurationWrite &write)
{
    const Result refreshed = refresh();
    if (!isOk(refreshed)) {
        return {refreshed};
    }
    const std::shared_ptr<const KnownConfiguration> &known = valueOf(refreshed);
    RecordedWrites writes = recordedWrites(known->snapshot);
    if (const RecordedWrite *done = writes.find(write.token)) {
        if (done->key != write.key) {
            return {Error {ErrorCode::InvalidArgument, "Write-Token", "names an earlier write of another resource"}};
        }
        return {known};
    }
    const Outcome<PlannedWrite> plan = write.plan(*known);
    if (!isOk(plan)) {
        return {errorOf(plan)};
    }
    if (valueOf(plan).unchanged) {
        return {known};
    }
    writes.add({write.token, write.key});
    StoreTransaction transaction;
    const Revision expected = modifiedOf(known->snapshot, configurationVersionKey);
    transaction.compares = {{configurationVersionKey, expected}, {write.key, modifiedOf(known->snapshot, write.key)}};
    transaction.writes = {{configurationVersionKey, formatRecordedWrites(writes), {}},
                          {write.key, valueOf(plan).value, {}}};
    const Outcome<StorePosition> committed = store_->commit(transaction);
    if (isOk(committed)) {
        return {applyCommitted(*known, transaction, valueOf(committed).revision)};
    }
    switch (errorOf(committed).code) {
    case ErrorCode::Conflict:
        return {};
    case ErrorCode::Unknown:
        return resolveUnknownOutcome(write, transaction, expected);
    default:
        return {notStored(errorOf(committed).message)};
    }
}

ConfigurationWriter::Attempt ConfigurationWriter::resolveUnknownOutcome(const ConfigurationWrite &write,
                                                                        const StoreTransaction &transaction,
                                                                        Revision expected)
{
    Milliseconds wait = InitialRetryDelay;
    for (int attempt = 0; attempt < ResolveAttempts; ++attempt) {
        wait_(wait);
        wait = wait * 2;
        const Outcome<StoredRange> range = store_->range(configurationPrefix);
        if (!isOk(range)) {
            continue;
        }
        ConfigurationSnapshot snapshot = snapshotOf(valueOf(range));
        const RecordedWrites writes = recordedWrites(snapshot);
        const bool done = writes.find(write.token) != nullptr;
        const bool unchanged = snapshot.revision == expected;
        core_.applySnapshot(std::move(snapshot));
        if (done) {
            return {core_.current()};
        }
        if (!unchanged) {
            // Another write changed the version key, so the compare of this transaction can no longer succeed.
            return {};
        }
        // The transaction may still reach the store. If it is sent again, only one of the two can take effect,
        // because the first one changes the revision that both compare.
        const std::shared_ptr<const KnownConfiguration> known = core_.current();
        const Outcome<StorePosition> committed = store_->commit(transaction);
        if (isOk(committed)) {
            return {applyCommitted(*known, transaction, valueOf(committed).revision)};
        }
    }
    return {Error {ErrorCode::Unknown, {}, "outcome unknown: the store gave no answer to the write"}};
}

std::shared_ptr<const KnownConfiguration> ConfigurationWriter::applyCommitted(const KnownConfiguration &base,
                                                                              const StoreTransaction &transaction,
                                                                              Revision revision)
{
    ConfigurationSnapshot snapshot = base.snapshot;
    snapshot.revision = revision;
    for (const StoreWrite &write : transaction.writes) {
        if (write.value) {
            snapshot.entries[write.key] = {*write.value, revision};
        } else {
            snapshot.entries.erase(write.key);
        }
    }
    core_.applySnapshot(std::move(snapshot));
    return core_.current();
}

} // namespace rhubarblane
