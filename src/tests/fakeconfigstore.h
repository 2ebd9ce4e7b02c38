#ifndef RHUBARBLANE_TESTS_FAKECONFIGSTORE_H
#define RHUBARBLANE_TESTS_FAKECONFIGSTORE_H

#include "standins/storetable.h"
#include "store/configstore.h"

#include <functional>
#include <utility>

namespace rhubarblane
{

/** An in-memory ConfigStore with faults that tests control. */
class FakeConfigStore : public ConfigStore
{
public:
    StoreTable table;
    /** Rises with restore(); 0 as of a store that does not tell its era. */
    StoreEra era;
    Timestamp now;
    bool available = true;
    /** The number of coming commits that take effect but return Unknown. */
    int loseAnswers = 0;
    /** The number of coming commits that have no effect and return Unknown. */
    int loseRequests = 0;
    /** The store becomes unavailable after a commit that returned Unknown. */
    bool unavailableAfterLoss = false;
    /** Called once before the next commit, to simulate a concurrent writer. */
    std::function<void()> beforeCommit;
    /** Called once by the next watch in place of waiting for changes. */
    std::function<void()> onWatch;
    int ranges = 0;
    int commits = 0;

    /** Replaces all data by an earlier copy, so that revisions and lease ids since then are given out again. */
    void restore(const StoreTable &backup)
    {
        table = backup;
        era = StoreEra(era.value() + 1);
    }

    Outcome<StoredRange> range(const std::string &prefix) override
    {
        ++ranges;
        if (!available) {
            return unavailable();
        }
        StoredRange result = table.range(prefix, end(prefix));
        result.asOf.era = showEra();
        return result;
    }

    Outcome<StorePosition> commit(const StoreTransaction &transaction) override
    {
        ++commits;
        if (!available) {
            return unavailable();
        }
        if (beforeCommit) {
            std::exchange(beforeCommit, nullptr)();
        }
        if (loseRequests > 0) {
            --loseRequests;
            available = !unavailableAfterLoss;
            return Error {ErrorCode::Unknown, {}, "no answer"};
        }
        const Outcome<Revision> result = table.commit(transaction);
        if (loseAnswers > 0 && isOk(result)) {
            --loseAnswers;
            available = !unavailableAfterLoss;
            return Error {ErrorCode::Unknown, {}, "no answer"};
        }
        const StoreEra shown = showEra();
        return isOk(result) ? Outcome<StorePosition>(StorePosition {shown, valueOf(result)})
                            : Outcome<StorePosition>(errorOf(result));
    }

    Outcome<std::vector<StoredChange>>
    watch(const std::string &prefix, StorePosition from, Milliseconds timeout) override
    {
        if (!available) {
            return unavailable();
        }
        if (onWatch) {
            std::exchange(onWatch, nullptr)();
        }
        if (from.era != showEra()) {
            return Error {ErrorCode::NotFound, {}, "the store was restored"};
        }
        return table.changes(prefix, end(prefix), from.revision);
    }

    void cancelWatches() override
    {
    }

    Outcome<GrantedLease> grantLease(Milliseconds duration) override
    {
        if (!available) {
            return unavailable();
        }
        return GrantedLease {showEra(), table.grantLease(now, duration)};
    }

    std::optional<Error> keepLeaseAlive(GrantedLease lease) override
    {
        if (!available) {
            return unavailable();
        }
        // As with the platform's store, the call takes effect before its answer shows the era.
        const bool renewed = table.keepLeaseAlive(now, lease.id);
        if (lease.era != showEra() || !renewed) {
            return Error {ErrorCode::NotFound, {}, "the lease has expired"};
        }
        return std::nullopt;
    }

    std::optional<Error> revokeLease(GrantedLease lease) override
    {
        if (lease.era == shownEra_) {
            table.revokeLease(lease.id);
        }
        return std::nullopt;
    }

private:
    /** Returns the era, which the answer to a call shows to the client. */
    StoreEra showEra()
    {
        return shownEra_ = era;
    }

    static std::string end(std::string prefix)
    {
        prefix.back() = static_cast<char>(prefix.back() + 1);
        return prefix;
    }

    static Error unavailable()
    {
        return {ErrorCode::Unavailable, {}, "the store cannot be reached"};
    }

    StoreEra shownEra_;
};

} // namespace rhubarblane

#endif
