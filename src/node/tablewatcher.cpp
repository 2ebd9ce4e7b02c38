#include "node/tablewatcher.h"

#include <algorithm>
#include <utility>

namespace rhubarblane
{

namespace
{

// Must stay below 30 s, the longest watch that the store allows. Changes that a stalled connection hides are found by
// check().
constexpr Milliseconds MaxWatchTimeout(25000);
// The store answers a watch with this timeout immediately. A timeout of 0 may mean the store's default.
constexpr Milliseconds CheckWatchTimeout(1);
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

Milliseconds TableWatcher::step()
{
    // Jitter spreads the reconnects of balancers that started at the same time.
    const Milliseconds wait(
        std::uniform_int_distribution<std::int64_t>(MaxWatchTimeout.count() * 3 / 4, MaxWatchTimeout.count())(random_));
    const Outcome<Revision> read = lastRevision_ == Revision() ? readAll() : waitForChange(lastRevision_, wait);
    std::optional<Error> error;
    if (isOk(read)) {
        lastRevision_ = valueOf(read);
    } else {
        // The store may have compacted its history, so only a full read returns the changes since the last revision.
        lastRevision_ = Revision();
        if (errorOf(read).code == ErrorCode::NotFound) {
            onLog_("historyDropped", key_);
        } else {
            error = errorOf(read);
        }
    }
    updateStoreAvailability(error);
    return error ? RetryInterval : Milliseconds(0);
}

bool TableWatcher::check()
{
    Outcome<Revision> read =
        checkedRevision_ == Revision() ? readAll() : waitForChange(checkedRevision_, CheckWatchTimeout);
    if (!isOk(read) && errorOf(read).code == ErrorCode::NotFound) {
        read = readAll();
    }
    if (isOk(read)) {
        checkedRevision_ = valueOf(read);
    } else if (!stopping_) {
        onLog_("tableCheckFailed", errorOf(read).message);
    }
    return isOk(read);
}

Outcome<Revision> TableWatcher::readAll()
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
    return valueOf(range).revision;
}

Outcome<Revision> TableWatcher::waitForChange(Revision last, Milliseconds wait)
{
    const Outcome<std::vector<StoredChange>> changes = store_.watch(key_, Revision(last.value() + 1), wait);
    if (!isOk(changes)) {
        return errorOf(changes);
    }
    for (const StoredChange &change : valueOf(changes)) {
        if (change.key == key_ && change.value) {
            publishTable(*change.value, change.modified);
        }
        last = std::max(last, change.modified);
    }
    return last;
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
