#include "node/tablewatcher.h"

#include <algorithm>
#include <iterator>
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
// Bounds the log lines and the memory of invalid keys.
constexpr std::size_t MaximumInvalidKeys = 256;

std::string commonPrefix(const std::string &a, const std::string &b)
{
    const auto [end, ignored] = std::mismatch(a.begin(), a.end(), b.begin(), b.end());
    return {a.begin(), end};
}

} // namespace

TableWatcher::TableWatcher(ConfigStore &store,
                           std::string key,
                           Decoder decode,
                           TableHandler onTable,
                           LogHandler onLog,
                           EvacuationKeys evacuationKeys,
                           EvacuationHandler onEvacuations)
    : store_(store)
    , key_(std::move(key))
    , evacuationKeys_(std::move(evacuationKeys))
    , prefix_(evacuationKeys_.prefix.empty() ? key_ : commonPrefix(key_, evacuationKeys_.prefix))
    , decode_(std::move(decode))
    , onTable_(std::move(onTable))
    , onEvacuations_(std::move(onEvacuations))
    , onLog_(std::move(onLog))
{
}

Milliseconds TableWatcher::step()
{
    // Jitter spreads the reconnects of balancers that started at the same time.
    const Milliseconds wait(
        std::uniform_int_distribution<std::int64_t>(MaxWatchTimeout.count() * 3 / 4, MaxWatchTimeout.count())(random_));
    const bool reads = watched_.asOf == StorePosition();
    std::optional<Error> error = reads ? readAll(watched_) : waitForChange(watched_, wait);
    Milliseconds delay = error ? RetryInterval : Milliseconds(0);
    if (error) {
        // The store may have compacted its history, so only a full read returns the changes since the last revision.
        watched_.asOf = StorePosition();
        if (error->code == ErrorCode::NotFound) {
            onLog_("historyDropped", prefix_);
            error.reset();
            // A store that drops the history of each read, or changes its era with each answer, is not read in a loop.
            delay = std::exchange(historyDropped_, true) ? RetryInterval : Milliseconds(0);
        }
    } else if (!reads) {
        historyDropped_ = false;
    }
    updateStoreAvailability(error);
    return delay;
}

bool TableWatcher::check()
{
    std::optional<Error> error =
        checked_.asOf == StorePosition() ? readAll(checked_) : waitForChange(checked_, CheckWatchTimeout);
    if (error && error->code == ErrorCode::NotFound) {
        error = readAll(checked_);
    }
    if (error && !stopping_) {
        onLog_("tableCheckFailed", error->message);
    }
    return !error;
}

std::optional<Error> TableWatcher::readAll(View &view)
{
    const Outcome<StoredRange> range = store_.range(prefix_);
    if (!isOk(range)) {
        return errorOf(range);
    }
    view = View {valueOf(range).asOf, {}};
    for (const StoredValue &value : valueOf(range).values) {
        if (value.key == key_) {
            publishTable(value.value, value.modified);
        } else {
            applyEvacuation(view, value.key, value.value);
        }
    }
    publishEvacuations(view);
    return std::nullopt;
}

std::optional<Error> TableWatcher::waitForChange(View &view, Milliseconds wait)
{
    const Outcome<std::vector<StoredChange>> changes =
        store_.watch(prefix_, {view.asOf.era, Revision(view.asOf.revision.value() + 1)}, wait);
    if (!isOk(changes)) {
        return errorOf(changes);
    }
    const StorePosition before = view.asOf;
    for (const StoredChange &change : valueOf(changes)) {
        if (change.key != key_) {
            applyEvacuation(view, change.key, change.value);
        } else if (change.value) {
            publishTable(*change.value, change.modified);
        }
        view.asOf.revision = std::max(view.asOf.revision, change.modified);
    }
    if (view.asOf != before) {
        publishEvacuations(view);
    }
    return std::nullopt;
}

void TableWatcher::applyEvacuation(View &view, const std::string &key, const std::optional<std::string> &value)
{
    const std::string &prefix = evacuationKeys_.prefix;
    if (prefix.empty() || key.compare(0, prefix.size(), prefix) != 0) {
        return;
    }
    const std::string zone = key.substr(prefix.size());
    view.evacuatedZones.erase(zone);
    if (!value) {
        return;
    }
    if (!isZoneName(zone)) {
        logInvalidEvacuation(key, "no name of a zone");
    } else if (const std::optional<Error> error = evacuationKeys_.check(*value)) {
        logInvalidEvacuation(key, error->message);
    } else {
        view.evacuatedZones.insert(zone);
    }
}

void TableWatcher::publishEvacuations(const View &view)
{
    if (evacuationKeys_.prefix.empty()) {
        return;
    }
    EvacuatedZones state {view.asOf, view.evacuatedZones};
    while (state.zones.size() > MaximumEvacuatedZones) {
        const auto last = std::prev(state.zones.end());
        logInvalidEvacuation(evacuationKeys_.prefix + *last, "too many zones");
        state.zones.erase(last);
    }
    onEvacuations_(state);
}

void TableWatcher::logInvalidEvacuation(const std::string &key, const std::string &reason)
{
    const std::lock_guard lock(invalidKeysMutex_);
    if (invalidKeys_.size() < MaximumInvalidKeys && invalidKeys_.insert(key).second) {
        onLog_("evacuationInvalid", key + ": " + reason);
    }
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
        onLog_("storeRegained", prefix_);
    }
    storeAvailable_ = !error;
}

} // namespace rhubarblane
