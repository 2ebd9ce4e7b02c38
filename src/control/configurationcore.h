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

/** A decoded snapshot. Immutable, so threads share it. */
struct KnownConfiguration {
    ConfigurationSnapshot snapshot;
    Configuration configuration;
};

/**
 * The configuration that this balancer knows. A higher revision replaces a lower one, never the reverse, whichever of
 * store, peers and own writes it comes from. Safe to use from several threads.
 */
class ConfigurationCore
{
public:
    using Listener = std::function<void(const Configuration &)>;
    using ErrorListener = std::function<void(const std::string &)>;

    /** The listeners are called under a lock, in the order of revisions; they must not call back. */
    explicit ConfigurationCore(Listener applied, ErrorListener failed = {});

    std::shared_ptr<const KnownConfiguration> current() const;

    /** Takes over a snapshot with a higher revision. Returns false, and changes nothing, if it is not higher. */
    bool applySnapshot(ConfigurationSnapshot snapshot);

    /** Answers a peer: changes since the revision it knows, or all objects if those are no longer known. */
    wire::ConfigurationReply replyTo(const wire::ConfigurationRequest &request) const;

    /**
     * Takes over a peer's answer to a request that named revision `base`. Conflict if the result does not have the
     * digest that the peer sent, or if the delta does not fit; the caller then asks for the whole snapshot.
     */
    std::optional<Error> applyReply(Revision base, const wire::ConfigurationReply &reply);

private:
    struct Removal {
        std::string key;
        /** The revision at which the key was found gone; the removal itself can be earlier. */
        Revision detected;
    };

    /** Older removals are forgotten; peers that are further behind get the whole snapshot. */
    static constexpr std::size_t MaximumRemovals = 1000;

    void recordRemovals(const ConfigurationSnapshot &before, const ConfigurationSnapshot &after);

    mutable std::mutex mutex_;
    Listener onApplied_;
    ErrorListener onDecodeError_;
    std::shared_ptr<const KnownConfiguration> current_;
    std::vector<Removal> removals_;
    /** Deltas can start at this revision or a higher one. */
    Revision oldestDeltaBase_;
};

} // namespace rhubarblane

#endif
