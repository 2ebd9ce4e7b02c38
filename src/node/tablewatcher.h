#ifndef RHUBARBLANE_NODE_TABLEWATCHER_H
#define RHUBARBLANE_NODE_TABLEWATCHER_H

#include "base/clock.h"
#include "base/outcome.h"
#include "relay/servicetable.h"
#include "store/configstore.h"

#include <atomic>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace rhubarblane
{

/**
 * Watches the store key that holds the operators' service table. Each step blocks while it waits for a change. step()
 * and check() may run on two threads, so the handlers must be thread-safe.
 */
class TableWatcher
{
public:
    using Decoder = std::function<Outcome<ServiceTable>(const std::string &value)>;
    using TableHandler = std::function<void(ServiceTable table)>;
    using LogHandler = std::function<void(const std::string &event, const std::string &detail)>;

    /** `store` must outlive the watcher. */
    TableWatcher(ConfigStore &store, std::string key, Decoder decode, TableHandler onTable, LogHandler onLog);

    /** Reads the table or waits for a change of it, and returns the time to wait before the next step. */
    Milliseconds step();

    /**
     * Reads changes of the table over a new connection, also while a step waits on another thread. Returns false if the
     * store did not answer.
     */
    bool check();

    /**
     * Announces the end of the process, so that cancelled calls are not logged as loss of the store. May be called on
     * any thread.
     */
    void stop()
    {
        stopping_ = true;
    }

private:
    /** Publishes the table and returns the store's revision. */
    Outcome<Revision> readAll();
    /** Publishes changes after `last` and returns the revision up to which all changes are known. */
    Outcome<Revision> waitForChange(Revision last, Milliseconds wait);
    void publishTable(const std::string &value, Revision modified);
    void updateStoreAvailability(const std::optional<Error> &error);

    ConfigStore &store_;
    std::string key_;
    Decoder decode_;
    TableHandler onTable_;
    LogHandler onLog_;
    /** Revision up to which all changes are known; Revision() before the first full read. */
    Revision lastRevision_;
    /** Like lastRevision_, for check(), which runs on another thread. */
    Revision checkedRevision_;
    std::mt19937_64 random_ {std::random_device {}()};
    bool storeAvailable_ = true;
    std::atomic<bool> stopping_ = false;
};

} // namespace rhubarblane

#endif
