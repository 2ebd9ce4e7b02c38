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
    /** Unique among all processes and their restarts; marks the reader's key as this process's own. */
    std::string identity;
    /** One reader is elected per region. */
    std::string region;
    Milliseconds leaseDuration = Milliseconds(5000);
    /** Time between renewals; also how long one watch waits. */
    Milliseconds renewalInterval = Milliseconds(1500);
    /** Time between two looks of a candidate at the reader's key. */
    Milliseconds candidatePollInterval = Milliseconds(2000);
};

/**
 * Reads the configuration from the store while it holds the reader lease of its region. The lease only limits the
 * number of store calls: a reader that was paused and believes in a lease that has expired does no harm, because
 * ConfigurationCore takes over higher revisions only.
 */
class ConfigurationReader
{
public:
    /** `isCandidate` says whether this balancer may become the reader now. The references must outlive the reader. */
    ConfigurationReader(ReaderSettings settings,
                        ConfigStore &store,
                        ConfigurationCore &core,
                        std::function<bool()> isCandidate,
                        std::mt19937_64 random);

    /** Does the next thing that is due; blocks for a store call. Returns the time to wait before the next step. */
    Milliseconds step(Timestamp now);

    /** Gives up the lease, so that another balancer becomes the reader at once. */
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
    LeaseId lease_;
    Timestamp lastRenewal_;
    bool needsFullRead_ = true;
    /** Changes before this revision of the store are known. */
    Revision nextWatchRevision_;
};

} // namespace rhubarblane

#endif
