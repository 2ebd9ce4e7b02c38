#ifndef RHUBARBLANE_TESTS_FAKECONFIGSTORE_H
#define RHUBARBLANE_TESTS_FAKECONFIGSTORE_H

#include "standins/storetable.h"
#include "store/configstore.h"

#include <functional>
#include <utility>

namespace rhubarblane
{

/** A ConfigStore in memory whose faults are switched by the test. */
class FakeConfigStore : public ConfigStore
{
public:
    StoreTable table;
    Timestamp now;
    bool available = true;
    /** Coming commits take effect but answer Unknown. */
    int loseAnswers = 0;
    /** Coming commits do nothing and answer Unknown. */
    int loseRequests = 0;
    /** Becomes unavailable after a commit without an answer. */
    bool unavailableAfterLoss = false;
    /** Runs once before the next commit, as another writer would. */
    std::function<void()> beforeCommit;
    /** Runs in place of a wait for changes. */
    std::function<void()> onWatch;
    int ranges = 0;
    int commits = 0;

    Outcome<StoredRange> range(const std::string &prefix) override
    {
        ++ranges;
        if (!available) {
            return unavailable();
        }
        return table.range(prefix, end(prefix));
    }

    Outcome<Revision> commit(const StoreTransaction &transaction) override
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
        return result;
    }

    Outcome<std::vector<StoredChange>> watch(const std::string &prefix, Revision from, Milliseconds timeout) override
    {
        if (!available) {
            return unavailable();
        }
        if (onWatch) {
            std::exchange(onWatch, nullptr)();
        }
        return table.changes(prefix, end(prefix), from);
    }

    void cancelWatches() override
    {
    }

    Outcome<LeaseId> grantLease(Milliseconds duration) override
    {
        if (!available) {
            return unavailable();
        }
        return table.grantLease(now, duration);
    }

    std::optional<Error> keepLeaseAlive(LeaseId lease) override
    {
        if (!available) {
            return unavailable();
        }
        if (!table.keepLeaseAlive(now, lease)) {
            return Error {ErrorCode::NotFound, {}, "the lease has expired"};
        }
        return std::nullopt;
    }

    std::optional<Error> revokeLease(LeaseId lease) override
    {
        table.revokeLease(lease);
        return std::nullopt;
    }

private:
    static std::string end(std::string prefix)
    {
        prefix.back() = static_cast<char>(prefix.back() + 1);
        return prefix;
    }

    static Error unavailable()
    {
        return {ErrorCode::Unavailable, {}, "the store cannot be reached"};
    }
};

} // namespace rhubarblane

#endif
