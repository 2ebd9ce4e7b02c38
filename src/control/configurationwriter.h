#ifndef RHUBARBLANE_CONTROL_CONFIGURATIONWRITER_H
#define RHUBARBLANE_CONTROL_CONFIGURATIONWRITER_H

#include "control/configurationcore.h"
#include "store/configstore.h"

#include <functional>
#include <mutex>
#include <optional>
#include <string>

namespace rhubarblane
{

/** The effect of a write on its key, computed from one snapshot. */
struct PlannedWrite {
    /** The new value; nullopt deletes the key. */
    std::optional<std::string> value;
    /** True if the key already has the requested content, so that nothing is stored. */
    bool unchanged = false;
};

/** A write of one key of the configuration. */
struct ConfigurationWrite {
    std::string key;
    /** Idempotency token of the write: a write with a token that was already used has no second effect. */
    std::string token;
    /** Validates the write against a snapshot. Called once for each attempt, with the snapshot of that attempt. */
    std::function<Outcome<PlannedWrite>(const KnownConfiguration &)> plan;
};

/**
 * Writes to the store. The result says that the write took effect, or that it did not and never will, or, only if the
 * store does not respond, that the outcome is unknown. Safe to use from several threads; calls block.
 */
class ConfigurationWriter
{
public:
    /** Blocks for the given time between two attempts. */
    using Wait = std::function<void(Milliseconds)>;

    /** If `store` is null, every write fails with Unavailable. Store and core must outlive the writer. */
    ConfigurationWriter(ConfigStore *store, ConfigurationCore &core, Wait wait);

    /**
     * Returns the configuration that contains the write. Fails with the errors of the plan, with InvalidArgument if the
     * token was used for a write of another key, with Unavailable if the write was not stored, and with Unknown if it
     * may have been stored.
     */
    Outcome<std::shared_ptr<const KnownConfiguration>> write(const ConfigurationWrite &write);

private:
    struct Attempt {
        std::optional<Outcome<std::shared_ptr<const KnownConfiguration>>> result;
    };

    /** Makes one attempt on the current store revision. Returns no result if another writer changed it meanwhile. */
    Attempt attemptWrite(const ConfigurationWrite &write);

    /** Determines whether a transaction without a response took effect; commits it again if the store is unchanged. */
    Attempt
    resolveUnknownOutcome(const ConfigurationWrite &write, const StoreTransaction &transaction, Revision expected);

    /** Reads the version key and, if it is newer than the known configuration, all objects. */
    Outcome<std::shared_ptr<const KnownConfiguration>> refresh();

    std::shared_ptr<const KnownConfiguration>
    applyCommitted(const KnownConfiguration &base, const StoreTransaction &transaction, Revision revision);

    ConfigStore *store_;
    ConfigurationCore &core_;
    Wait wait_;
    /** Serializes writes: the compares of concurrent transactions of one balancer would fail each other. */
    std::mutex mutex_;
};

/** Converts a range to a snapshot. Its revision is that of the version key, Revision() if the key does not exist. */
ConfigurationSnapshot snapshotOf(const StoredRange &range);

} // namespace rhubarblane

#endif
