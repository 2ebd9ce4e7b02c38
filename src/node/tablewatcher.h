#ifndef RHUBARBLANE_NODE_TABLEWATCHER_H
#define RHUBARBLANE_NODE_TABLEWATCHER_H

#include "base/clock.h"
#include "base/outcome.h"
#include "relay/evacuations.h"
#include "relay/servicetable.h"
#include "store/configstore.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace rhubarblane
{

/** The store keys by which operators evacuate availability zones. */
struct EvacuationKeys {
    /** A key is this prefix and the name of a zone; empty if there are no evacuations. */
    std::string prefix;
    /** Returns the error of a value that does not evacuate the zone of its key. */
    std::function<std::optional<Error>(const std::string &value)> check;
};

/**
 * Watches the store keys that hold the desired state: the operators' service table and, where they are configured, the
 * evacuations. One watch of the keys' common prefix returns the changes of both, so that the evacuations cost no
 * further calls. Each step blocks while it waits for a change. step()
 * and check() may run on two threads, so the handlers must be thread-safe.
 */
class TableWatcher
{
public:
    using Decoder = std::function<Outcome<ServiceTable>(const std::string &value)>;
    using TableHandler = std::function<void(ServiceTable table)>;
    using EvacuationHandler = std::function<void(const EvacuatedZones &state)>;
    using LogHandler = std::function<void(const std::string &event, const std::string &detail)>;

    /** `store` must outlive the watcher. */
    TableWatcher(ConfigStore &store,
                 std::string key,
                 Decoder decode,
                 TableHandler onTable,
                 LogHandler onLog,
                 EvacuationKeys evacuationKeys = {},
                 EvacuationHandler onEvacuations = nullptr);

    /** Reads the desired state or waits for a change of it, and returns the time to wait before the next step. */
    Milliseconds step();

    /**
     * Reads changes of the desired state over a new connection, also while a step waits on another thread. Returns
     * false if the store did not answer.
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
    /** The desired state as one thread knows it. */
    struct View {
        /** Position up to which all changes are known; StorePosition() before the first full read. */
        StorePosition asOf;
        std::set<std::string> evacuatedZones;
    };

    /** Reads and publishes the complete state. */
    std::optional<Error> readAll(View &view);
    /** Waits for changes and publishes them. */
    std::optional<Error> waitForChange(View &view, Milliseconds wait);
    void publishTable(const std::string &value, Revision modified);
    void publishEvacuations(const View &view);
    /** Applies a key and its value, or its removal, to the evacuated zones. Other keys are ignored. */
    void applyEvacuation(View &view, const std::string &key, const std::optional<std::string> &value);
    /** Logs an invalid key or value, each key once. */
    void logInvalidEvacuation(const std::string &key, const std::string &reason);
    void updateStoreAvailability(const std::optional<Error> &error);

    ConfigStore &store_;
    std::string key_;
    EvacuationKeys evacuationKeys_;
    /** Prefix of all keys that are watched. */
    std::string prefix_;
    Decoder decode_;
    TableHandler onTable_;
    EvacuationHandler onEvacuations_;
    LogHandler onLog_;
    View watched_;
    /** Like watched_, for check(), which runs on another thread. */
    View checked_;
    std::mutex invalidKeysMutex_;
    std::set<std::string> invalidKeys_;
    std::mt19937_64 random_ {std::random_device {}()};
    bool storeAvailable_ = true;
    /** No watch has succeeded since the store did not have the history of one. */
    bool historyDropped_ = false;
    std::atomic<bool> stopping_ = false;
};

} // namespace rhubarblane

#endif
