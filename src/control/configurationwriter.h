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

/** What a write does to its key, as decided on one snapshot. */
struct PlannedWrite {
    /** The new value; no value deletes the key. */
    std::optional<std::string> value;
    /** The key already has the wanted content. */
    bool unchanged = false;
};

/** A write of one key of the configuration. */
struct ConfigurationWrite {
    std::string key;
    /** Names the write; a repeated token has no second effect. */
    std::string token;
    /** Checks the write against a snapshot. Called again for each snapshot that the write is tried on. */
    std::function<Outcome<PlannedWrite>(const KnownConfiguration &)> plan;
};

/**
 * Writes to the store so that the caller hears either that the write took effect, or that it did not and never will,
 * or, when the store gives no answer at all, that the outcome is unknown. Safe to use from several threads; calls
 * block.
 */
class ConfigurationWriter
{
public:
    /** Blocks for a time between two attempts. */
    using Wait = std::function<void(Milliseconds)>;

    /** `store` may be null: then every write is Unavailable. Both must outlive the writer. */
    ConfigurationWriter(ConfigStore *store, ConfigurationCore &core, Wait wait);

    /**
     * Returns the configuration that contains the write. Errors: those of the plan; InvalidArgument if the token names
     * a write of another key; Unavailable: not stored; Unknown: it may have been stored.
     */
    Outcome<std::shared_ptr<const KnownConfiguration>> write(const ConfigurationWrite &write);

private:
    struct Attempt {
        std::optional<Outcome<std::shared_ptr<const KnownConfiguration>>> result;
    };

    /** One attempt on the current revision of the store; no result if another writer was first. */
    Attempt attemptWrite(const ConfigurationWrite &write);

    /** Finds out what became of a transaction without an answer. */
    Attempt
    resolveUnknownOutcome(const ConfigurationWrite &write, const StoreTransaction &transaction, Revision expected);

    /** Reads the version key and, if it is newer than the known configuration, everything. */
    Outcome<std::shared_ptr<const KnownConfiguration>> refresh();

    std::shared_ptr<const KnownConfiguration>
    applyCommitted(const KnownConfiguration &base, const StoreTransaction &transaction, Revision revision);

    ConfigStore *store_;
    ConfigurationCore &core_;
    Wait wait_;
    /** One write at a time; two writes of one balancer would only fail each other's compares. */
    std::mutex mutex_;
};

/** All objects of a range as a snapshot. Its revision is that of the version key, Revision() if there is none. */
ConfigurationSnapshot snapshotOf(const StoredRange &range);

} // namespace rhubarblane

#endif
