#include "node/tablewatcher.h"

#include <algorithm>
#include <utility>

namespace rhubarblane
{

namespace
{

// A stalled connection hides changes until the watch times out and a new connection is opened. With this timeout some
// balancer of the fleet opens one about every second, and the others fetch a newer table from it within another 0.5 s.
// A new table must be in force within 3 s.
constexpr Milliseconds WatchTimeoutPerBalancer(1250);
constexpr Milliseconds MinWatchTimeout(2500);
// Must stay below 30 s, the longest watch that the store allows.
constexpr Milliseconds MaxWatchTimeout(25000);
constexpr Milliseconds RetryInterval(300);

} // namespace

TableWatcher::TableWatcher(ConfigStore &store, std::string key, Decoder decode, TableHandler onTable, LogHandler onLog)
    : store_(store)
    , key_(std::move(key))
    , decode_(std::move(decode))
    , onTable_(std::move(onTable))
    , onLog_(std::move(onLog))
{
}

Milliseconds TableWatcher::step(std::size_t balancers)
{
    const Milliseconds longest =
        std::clamp(WatchTimeoutPerBalancer * static_cast<std::int64_t>(balancers), MinWatchTimeout, MaxWatchTimeout);
    // Jitter spreads the reconnects of balancers that started at the same time.
    const Milliseconds wait(
        std::uniform_int_distribution<std::int64_t>(longest.count() * 3 / 4, longest.count())(random_));
    const std::optional<Error> error = lastRevision_ == Revision() ? readAll() : waitForChange(wait);
    updateStoreAvailability(error);
    return error ? RetryInterval : Milliseconds(0);
}

std::optional<Error> TableWatcher::readAll()
{
    const Outcome<StoredRange> range = store_.range(key_);
    if (!isOk(range)) {
        return errorOf(range);
    }
    for (const StoredValue &value : valueOf(range).values) {
        if (value.key == key_) {
            publishTable(value.value, value.modified);
        }
    }
    lastRevision_ = valueOf(range).revision;
    return std::nullopt;
}

std::optional<Error> TableWatcher::waitForChange(Milliseconds wait)
{
    const Outcome<std::vector<StoredChange>> changes = store_.watch(key_, Revision(lastRevision_.value() + 1), wait);
    if (!isOk(changes)) {
        // The store may have compacted its history, so only a full read returns the changes since the last revision.
        lastRevision_ = Revision();
        if (errorOf(changes).code == ErrorCode::NotFound) {
            onLog_("historyDropped", key_);
            return std::nullopt;
        }
        return errorOf(changes);
    }
    for (const StoredChange &change : valueOf(changes)) {
        if (change.key == key_ && change.value) {
            publishTable(*change.value, change.modified);
        }
        lastRevision_ = std::max(lastRevision_, change.modified);
    }
    return std::nullopt;
}

void TableWatcher::publishTable(const std::string &value, Revision modified)
{
    Outcome<ServiceTable> table = decode_(value);
    if (!isOk(table)) {
        onLog_("tableUnreadable",
               errorOf(table).field + ": " + errorOf(table).message + ", revision " + std::to_string(modified.value()));
        return;
    }
    onTable_(takeValue(std::move(table)));
}

void TableWatcher::updateStoreAvailability(const std::optional<Error> &error)
{
    if (stopping_) {
        return;
    }
    if (error && storeAvailable_) {
        onLog_("storeLost", error->message);
    } else if (!error && !storeAvailable_) {
        onLog_("storeRegained", key_);
    }
    storeAvailable_ = !error;
}

} // namespace rhubarblane
