#ifndef RHUBARBLANE_CONTROL_CONFIGURATIONREADER_H
#define RHUBARBLANE_CONTROL_CONFIGURATIONREADER_H

#include "control/backoff.h"
#include "control/configurationcore.h"
#include "store/configstore.h"

#include <functional>
#include <optional>
#include <random>
#include <string>

namespace rhubarblane
{

struct ReaderSettings {
    /** Value of the reader key while this process holds it. Unique among all processes and their restarts. */
    std::string identity;
    /** Region of this balancer; each region elects one reader. */
    std::string region;
    Milliseconds leaseDuration = Milliseconds(5000);
    /** Time between renewals of the lease, and timeout of one watch. */
    Milliseconds renewalInterval = Milliseconds(1500);
    /** Time between two reads of the reader key by a candidate. */
    Milliseconds candidatePollInterval = Milliseconds(2000);
};

/**
 * Reads the configuration from the store while it holds the reader lease of its region. The lease only limits the
 * number of store calls: a reader that was paused and acts on an expired lease is harmless, because ConfigurationCore
 * accepts only higher revisions.
 */
class ConfigurationReader
{
public:
    /**
     * `isCandidate` returns whether this balancer may become the reader now. `store` and `core` must outlive the
     * object.
     */
    ConfigurationReader(ReaderSettings settings,
                        ConfigStore &store,
                        ConfigurationCore &core,
                        std::function<bool()> isCandidate,
                        std::mt19937_64 random);

    /** Performs the next action; blocks during store calls. Returns the delay until the next step. */
    Milliseconds step(Timestamp now);

    /** Revokes the lease, so that another candidate can become the reader without waiting for its expiry. */
    void release();

    bool isReader() const
    {
        return isReader_;
    }

private:
    std::string readerKey() const;
    Milliseconds tryToBecomeReader(Timestamp now);
    Milliseconds acquireReaderKey(Timestamp now);
    Milliseconds read(Timestamp now);
    std::optional<Error> readAll();
    Outcome<bool> readChanges();
    Milliseconds failed(const Error &error);

    ReaderSettings settings_;
    ConfigStore &store_;
    ConfigurationCore &core_;
    std::function<bool()> isCandidate_;
    Backoff backoff_;
    bool isReader_ = false;
    GrantedLease lease_;
    Timestamp lastRenewal_;
    bool needsFullRead_ = true;
    /** The next watch starts at this store revision; all earlier changes have been applied. */
    Revision nextWatchRevision_;
};

} // namespace rhubarblane

#endif
