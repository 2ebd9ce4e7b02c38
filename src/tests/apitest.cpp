#define BOOST_TEST_MODULE Api
#include "control/controlserver.h"
#include "standins/storestandin.h"

#include <cpprest/http_client.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>

using namespace rhubarblane;

namespace
{

struct ControlServerFixture {
    ControlServerFixture()
    {
        settings.name = "b1";
        settings.listenAddress = "127.0.0.1:0";
        hooks.applyConfiguration = [](const Configuration &) {};
        hooks.dump = [] { return std::string("{}"); };
        hooks.metrics = [] { return std::string("rhubarblane_up 1\n"); };
        hooks.targets = [] { return std::string("[]"); };
        hooks.liveBalancers = [] { return std::vector<BalancerRevision>(); };
    }

    static web::http::http_response fetch(const ControlServer &server, const std::string &path)
    {
        web::http::client::http_client client("http://127.0.0.1:" + std::to_string(server.httpPort()));
        return client.request(web::http::methods::GET, path).get();
    }

    static web::http::http_response
    put(const ControlServer &server, const std::string &path, const std::string &body, const std::string &token = {})
    {
        web::http::client::http_client client("http://127.0.0.1:" + std::to_string(server.httpPort()));
        web::http::http_request request(web::http::methods::PUT);
        request.set_request_uri(path);
        request.headers().add("Authorization", "Bearer key-1");
        if (!token.empty()) {
            request.headers().add("Write-Token", token);
        }
        request.set_body(body, "application/json");
        return client.request(request).get();
    }

    void useStore()
    {
        BOOST_REQUIRE(!standin.start("127.0.0.1:0"));
        settings.storeUrl = "http://127.0.0.1:" + std::to_string(standin.port());
        settings.apiKey = "key-1\n";
    }

    void setFaults(const std::string &faults) const
    {
        web::http::client::http_client client(settings.storeUrl);
        client.request(web::http::methods::POST, "/standin/faults", web::json::value::parse(faults)).wait();
    }

    const std::string service = R"({"spec":{"address":"198.51.100.1","port":7000}})";
    StoreStandin standin;
    ControlSettings settings;
    ControlHooks hooks;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ControlServerTest, ControlServerFixture)

// Guards against a server that starts without its listener, or that keeps its port after stop().
BOOST_AUTO_TEST_CASE(controlServerStartedAndStoppedTwiceRespondsEachTime)
{
    ControlServer server(settings, hooks);
    for (int round = 0; round < 2; ++round) {
        const std::optional<Error> error = server.start();
        BOOST_REQUIRE_MESSAGE(!error, (error ? error->message : ""));
        BOOST_TEST(fetch(server, "/metrics").extract_string(true).get() == "rhubarblane_up 1\n");
        BOOST_TEST(fetch(server, "/v1/nothing").status_code() == 404);
        server.stop();
        BOOST_TEST(server.httpPort() == 0);
    }
}

// Guards against an address error that does not name the setting.
BOOST_AUTO_TEST_CASE(controlServerWithMalformedAddressNamesTheSetting)
{
    settings.listenAddress = "127.0.0.1";
    ControlServer server(settings, hooks);
    const std::optional<Error> error = server.start();
    BOOST_REQUIRE(error.has_value());
    BOOST_TEST(error->field == "listenAddress");
}

// Guards against a write over HTTP that does not reach the store, and against request bodies that exhaust the memory.
BOOST_AUTO_TEST_CASE(controlServerStoresAWriteAndRejectsAnOversizedOne)
{
    useStore();
    ControlServer server(settings, hooks);
    BOOST_REQUIRE(!server.start());
    const web::http::http_response created = put(server, "/v1/services/readings", service);
    BOOST_TEST(created.status_code() == 200);
    BOOST_TEST(created.headers().has("ETag"));
    BOOST_TEST(fetch(server, "/v1/services/readings").status_code() == 200);
    BOOST_TEST(put(server, "/v1/services/large", std::string(1024 * 1024 + 1, ' ')).status_code() == 413);
    BOOST_TEST(fetch(server, "/v1/services/large").status_code() == 404);
}

// Guards against a lost store response that is reported to the operator as a failed write, and against a retry that
// writes a second time.
BOOST_AUTO_TEST_CASE(controlServerWithLostResponseReadsTheWriteBack)
{
    useStore();
    ControlServer server(settings, hooks);
    BOOST_REQUIRE(!server.start());
    setFaults(R"({"loseAnswers": 100})");
    const web::http::http_response lost = put(server, "/v1/services/readings", service, "token-1");
    BOOST_TEST(lost.status_code() == 200);
    setFaults(R"({"loseAnswers": 0, "away": "refuse"})");
    BOOST_TEST(put(server, "/v1/services/archive", service).status_code() == 503);
    setFaults(R"({"away": "no"})");
    BOOST_TEST(put(server, "/v1/services/readings", service, "token-1").status_code() == 200);
}

// Guards against balancers that do not receive a change from the store (b2) or, if they have none, from a peer (b3).
BOOST_AUTO_TEST_CASE(controlServersApplyAWriteThroughStoreAndPeers)
{
    useStore();
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, BalancerRevision> gossip;
    const auto makeServer = [&](const std::string &name) {
        settings.name = name;
        settings.peerListenAddress = "127.0.0.1:0";
        hooks.applyConfiguration = [&, name](const Configuration &configuration) {
            const std::lock_guard<std::mutex> lock(mutex);
            gossip[name].revision = configuration.revision;
            gossip[name].digest = configuration.digest;
            changed.notify_all();
        };
        hooks.liveBalancers = [&] {
            const std::lock_guard<std::mutex> lock(mutex);
            std::vector<BalancerRevision> balancers;
            balancers.reserve(gossip.size());
            for (const auto &entry : gossip) {
                balancers.push_back(entry.second);
            }
            return balancers;
        };
        auto server = std::make_unique<ControlServer>(settings, hooks);
        BOOST_REQUIRE(!server->start());
        const std::lock_guard<std::mutex> lock(mutex);
        gossip[name].name = name;
        gossip[name].peer = {0x7f000001, server->peerPort()};
        return server;
    };
    const auto b1 = makeServer("b1");
    const auto b2 = makeServer("b2");
    settings.storeUrl.clear();
    const auto b3 = makeServer("b3");
    BOOST_TEST(put(*b1, "/v1/services/readings", service).status_code() == 200);
    std::unique_lock<std::mutex> lock(mutex);
    const bool everywhere = changed.wait_for(lock, std::chrono::seconds(60), [&] {
        return std::all_of(gossip.begin(), gossip.end(), [&](const auto &entry) {
            return entry.second.revision != Revision() && entry.second.digest == gossip["b1"].digest;
        });
    });
    lock.unlock();
    BOOST_TEST(everywhere);
    BOOST_TEST(fetch(*b3, "/v1/services/readings").status_code() == 200);
    BOOST_TEST(put(*b3, "/v1/services/archive", service).status_code() == 503);
    // The hooks use the local variables above, so the servers are stopped before these are destroyed.
    b1->stop();
    b2->stop();
    b3->stop();
}

BOOST_AUTO_TEST_SUITE_END()
