#define BOOST_TEST_MODULE Etcd
#include "standins/storestandin.h"
#include "store/etcdstore.h"

#include <cpprest/http_client.h>

#include <boost/test/unit_test.hpp>

#include <future>

using namespace rhubarblane;

namespace
{

struct EtcdFixture {
    EtcdFixture()
    {
        const std::optional<Error> error = standin.start("127.0.0.1:0");
        BOOST_REQUIRE_MESSAGE(!error, (error ? error->message : ""));
        url = "http://127.0.0.1:" + std::to_string(standin.port());
    }

    void setFaults(const std::string &faults) const
    {
        web::http::client::http_client client(url);
        const auto response =
            client.request(web::http::methods::POST, "/standin/faults", web::json::value::parse(faults)).get();
        BOOST_REQUIRE(response.status_code() == 200);
    }

    std::int64_t count(const std::string &path) const
    {
        web::http::client::http_client client(url);
        const auto counts = client.request(web::http::methods::GET, "/standin/counts").get().extract_json().get();
        return counts.has_field(path) ? counts.at(path).as_number().to_int64() : 0;
    }

    static StoreTransaction put(const std::string &value, Revision expected)
    {
        return {{{"/k/a", expected}}, {{"/k/a", value, {}}}};
    }

    StoreStandin standin;
    std::string url;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EtcdStoreTest, EtcdFixture)

// Guards against bytes or revisions that are changed by the encoding of the JSON gateway.
BOOST_AUTO_TEST_CASE(etcdStoreReturnsStoredBytesAndRevision)
{
    EtcdStore store(url, Milliseconds(5000));
    const std::string bytes("\0\xff\"\n", 4);
    const Outcome<StorePosition> written = store.commit(put(bytes, Revision()));
    BOOST_REQUIRE(isOk(written));
    const Outcome<StoredRange> range = store.range("/k/");
    BOOST_REQUIRE(isOk(range));
    BOOST_REQUIRE(valueOf(range).values.size() == 1U);
    BOOST_TEST(valueOf(range).values[0].value == bytes);
    BOOST_TEST((valueOf(range).values[0].modified == valueOf(written).revision));
    BOOST_TEST((errorOf(store.commit(put("x", Revision()))).code == ErrorCode::Conflict));
}

// Guards against reporting a write that may have taken effect as not stored, which leads to a second write.
BOOST_AUTO_TEST_CASE(etcdStoreWithLostResponseReportsUnknownAndTheWriteIsStored)
{
    EtcdStore store(url, Milliseconds(300));
    setFaults(R"({"loseAnswers": 1})");
    BOOST_TEST((errorOf(store.commit(put("1", Revision()))).code == ErrorCode::Unknown));
    BOOST_TEST(valueOf(store.range("/k/")).values.size() == 1U);
}

// Guards against reporting the outcome of a write that never reached the store as unknown, which operators would have
// to investigate.
BOOST_AUTO_TEST_CASE(etcdStoreWithoutStoreReportsUnavailable)
{
    standin.stop();
    EtcdStore store(url, Milliseconds(2000));
    BOOST_TEST((errorOf(store.commit(put("1", Revision()))).code == ErrorCode::Unavailable));
    BOOST_TEST((errorOf(store.range("/k/")).code == ErrorCode::Unavailable));
}

// Guards against a call that waits for an unresponsive store for longer than its timeout.
BOOST_AUTO_TEST_CASE(etcdStoreWithUnresponsiveStoreEndsAtTheTimeout)
{
    EtcdStore store(url, Milliseconds(200));
    setFaults(R"({"away": "hang"})");
    BOOST_TEST((errorOf(store.range("/k/")).code == ErrorCode::Unavailable));
    BOOST_TEST((errorOf(store.commit(put("1", Revision()))).code == ErrorCode::Unknown));
    setFaults(R"({"away": "no"})");
    BOOST_TEST(valueOf(store.range("/k/")).values.empty());
}

// Guards against changes that are missed between two watches, and against more than one request per watch.
BOOST_AUTO_TEST_CASE(etcdStoreWatchReturnsPastAndComingChanges)
{
    EtcdStore store(url, Milliseconds(5000));
    const Revision first = valueOf(store.commit(put("1", Revision()))).revision;
    const auto past = store.watch("/k/", {StoreEra(), first}, Milliseconds(5000));
    BOOST_REQUIRE(isOk(past));
    BOOST_REQUIRE(valueOf(past).size() == 1U);

    auto coming = std::async(std::launch::async, [&] {
        return store.watch("/k/", {StoreEra(), Revision(first.value() + 1)}, Milliseconds(20000));
    });
    const Revision second = valueOf(store.commit(put("2", first))).revision;
    const auto changes = coming.get();
    BOOST_REQUIRE(isOk(changes));
    BOOST_REQUIRE(valueOf(changes).size() == 1U);
    BOOST_TEST((valueOf(changes)[0].modified == second));
    BOOST_TEST(valueOf(changes)[0].value.value_or("") == "2");
    BOOST_TEST(count("/v3/watch") == 2);
}

// Guards against a reader that continues after a compaction without noticing the missing changes.
BOOST_AUTO_TEST_CASE(etcdStoreWatchOfCompactedRevisionReportsNotFound)
{
    EtcdStore store(url, Milliseconds(5000));
    const Revision first = valueOf(store.commit(put("1", Revision()))).revision;
    setFaults(R"({"compact": true})");
    BOOST_TEST((errorOf(store.watch("/k/", {StoreEra(), first}, Milliseconds(5000))).code == ErrorCode::NotFound));
}

// Guards against a shutdown that is blocked until the timeout of a watch.
BOOST_AUTO_TEST_CASE(etcdStoreWatchEndsWhenCancelled)
{
    EtcdStore store(url, Milliseconds(5000));
    auto waiting = std::async(std::launch::async, [&] {
        return store.watch("/k/", {StoreEra(), Revision(2)}, Milliseconds(600000));
    });
    while (count("/v3/watch") == 0) { }
    store.cancelWatches();
    BOOST_TEST((errorOf(waiting.get()).code == ErrorCode::Unavailable));
}

// Guards against a lease holder that treats an expired lease as valid.
BOOST_AUTO_TEST_CASE(etcdStoreKeepAliveOfExpiredLeaseReportsNotFound)
{
    EtcdStore store(url, Milliseconds(5000));
    const Outcome<GrantedLease> lease = store.grantLease(Milliseconds(60000));
    BOOST_REQUIRE(isOk(lease));
    BOOST_TEST(!store.keepLeaseAlive(valueOf(lease)).has_value());
    setFaults(R"({"expireLeases": true})");
    const std::optional<Error> error = store.keepLeaseAlive(valueOf(lease));
    BOOST_REQUIRE(error.has_value());
    BOOST_TEST((error->code == ErrorCode::NotFound));
}

BOOST_AUTO_TEST_SUITE_END()
