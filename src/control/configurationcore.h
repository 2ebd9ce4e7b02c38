#ifndef RHUBARBLANE_CONTROL_CONFIGURATIONCORE_H
#define RHUBARBLANE_CONTROL_CONFIGURATIONCORE_H

#include "base/outcome.h"
#include "model/configurationsnapshot.h"
#include "wire/generated/rhubarblane.pb.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace rhubarblane
{

/** A snapshot and its decoded form. It is immutable, so that threads can share it. */
struct KnownConfiguration {
    ConfigurationSnapshot snapshot;
    Configuration configuration;
};

/**
 * Holds the latest configuration known to this balancer. A snapshot replaces the current one only if its revision is
 * higher, whether it comes from the store, a peer or a write through this balancer. Safe to use from several threads.
 */
class ConfigurationCore
{
public:
    using Listener = std::function<void(const Configuration &)>;
    using ErrorListener = std::function<void(const std::string &)>;

    /**
     * `applied` is called with each new configuration, `failed` with each object that cannot be decoded. Both are
     * called under a lock, in the order of revisions, and must not call this object.
     */
    explicit ConfigurationCore(Listener applied, ErrorListener failed = {});

    std::shared_ptr<const KnownConfiguration> current() const;

    /** Replaces the current snapshot by one with a higher revision. Otherwise changes nothing and returns false. */
    bool applySnapshot(ConfigurationSnapshot snapshot);

    /** Returns the changes since the revision known to the peer, or all objects if not all changes are recorded. */
    wire::ConfigurationReply replyTo(const wire::ConfigurationRequest &request) const;

    /**
     * Applies a peer's reply to a request with the known revision `base`. Fails with Conflict if the delta does not
     * start at the current revision, or if the result does not have the digest in the reply; the caller then requests
     * the whole snapshot.
     */
    std::optional<Error> applyReply(Revision base, const wire::ConfigurationReply &reply);

private:
    struct Removal {
        std::string key;
        /** The first applied revision without the key; the removal itself can have an earlier revision. */
        Revision detected;
    };

    /** Maximum size of removals_. The oldest are dropped; peers with an older revision then get the whole snapshot. */
    static constexpr std::size_t MaximumRemovals = 1000;

    void recordRemovals(const ConfigurationSnapshot &before, const ConfigurationSnapshot &after);

    mutable std::mutex mutex_;
    Listener onApplied_;
    ErrorListener onDecodeError_;
    std::shared_ptr<const KnownConfiguration> current_;
    std::vector<Removal> removals_;
    /** The oldest revision from which a delta can start. */
    Revision oldestDeltaBase_;
};

} // namespace rhubarblane

#endif
