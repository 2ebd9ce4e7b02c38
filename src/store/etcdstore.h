#ifndef RHUBARBLANE_STORE_ETCDSTORE_H
#define RHUBARBLANE_STORE_ETCDSTORE_H

#include "store/configstore.h"
#include "store/storecall.h"

#include <cpprest/json.h>

#include <string>

namespace rhubarblane
{

/**
 * A client of the JSON gateway of etcd v3. Each call ends within the timeout, a watch within its own. Safe to use from
 * several threads.
 *
 * etcd does not count restores, so all positions have the era 0. A snapshot must therefore be restored with raised
 * revisions (etcdutl snapshot restore --bump-revision --mark-compacted).
 */
class EtcdStore : public ConfigStore
{
public:
    /** `url` is "http://IP:PORT". */
    EtcdStore(std::string url, Milliseconds timeout);

    Outcome<StoredRange> range(const std::string &prefix) override;
    Outcome<StorePosition> commit(const StoreTransaction &transaction) override;
    Outcome<std::vector<StoredChange>>
    watch(const std::string &prefix, StorePosition from, Milliseconds timeout) override;
    void cancelWatches() override;
    /** Allows watches again after cancelWatches(). */
    void allowWatches();
    Outcome<GrantedLease> grantLease(Milliseconds duration) override;
    std::optional<Error> keepLeaseAlive(GrantedLease lease) override;
    std::optional<Error> revokeLease(GrantedLease lease) override;

private:
    enum class Effect {
        Read,
        Write,
    };

    Outcome<web::json::value> call(const std::string &path, const web::json::value &request, Effect effect) const;

    std::string url_;
    Milliseconds timeout_;
    CancellableCalls watches_;
};

} // namespace rhubarblane

#endif
