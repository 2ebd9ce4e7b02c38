#define BOOST_TEST_MODULE Ctl
#include "control/controlserver.h"
#include "ctl/ctlcommand.h"
#include "standins/storestandin.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <cstdio>
#include <fstream>
#include <map>
#include <mutex>
#include <sstream>
#include <unistd.h>

using namespace rhubarblane;

namespace
{

/** A temporary file that is removed by the destructor. */
struct TextFile {
    explicit TextFile(const std::string &text)
    {
        const int handle = mkstemp(name.data());
        BOOST_REQUIRE(handle >= 0);
        std::ofstream(name) << text;
        ::close(handle);
    }
    ~TextFile()
    {
        std::remove(name.c_str());
    }
    TextFile(const TextFile &) = delete;
    TextFile &operator=(const TextFile &) = delete;

    std::string name = "/tmp/rhubarblanectl-test-XXXXXX";
};

struct CtlFixture {
    CtlFixture()
    {
        BOOST_REQUIRE(!store.start("127.0.0.1:0"));
        ControlSettings settings;
        settings.name = "b1";
        settings.listenAddress = "127.0.0.1:0";
        settings.storeUrl = "http://127.0.0.1:" + std::to_string(store.port());
        settings.apiKey = "key-1";
        ControlHooks hooks;
        hooks.applyConfiguration = [this](const Configuration &configuration) {
            inForce = configuration.revision.value();
        };
        hooks.dump = [] { return std::string(R"({"flows":0})"); };
        hooks.metrics = [] { return std::string(); };
        hooks.targets = [] { return std::string("[]"); };
        hooks.liveBalancers = [this] {
            std::vector<BalancerRevision> balancers {{"b1", Revision(inForce), 0, {}}};
            if (hasLaggingBalancer) {
                balancers.push_back({"b2", Revision(), 0, {}});
            }
            return balancers;
        };
        server = std::make_unique<ControlServer>(settings, hooks);
        BOOST_REQUIRE(!server->start());
        environment["RHUBARBLANE_SERVER"] = address(server->httpPort());
        environment["RHUBARBLANE_API_KEY_FILE"] = key.name;
    }
    ~CtlFixture()
    {
        server->stop();
    }

    static std::string address(std::uint16_t port)
    {
        return "127.0.0.1:" + std::to_string(port);
    }

    int run(const std::vector<std::string> &arguments)
    {
        std::ostringstream outText;
        std::ostringstream errText;
        const CtlExit exit = runCtl(
            arguments,
            [this](const char *name) {
                const auto found = environment.find(name);
                return found == environment.end() ? nullptr : found->second.c_str();
            },
            outText,
            errText);
        out = outText.str();
        err = errText.str();
        return static_cast<int>(exit);
    }

    /** Starts a server that responds to every request with this status and body. */
    static void startFake(HttpServer &fake, int status, const std::string &body, std::atomic<int> &requests)
    {
        BOOST_REQUIRE(!fake.start("127.0.0.1:0", [status, body, &requests](const web::http::http_request &request) {
            ++requests;
            request.reply(static_cast<web::http::status_code>(status), body, "application/json");
        }));
    }

    const TextFile key {"key-1\n"};
    const TextFile resources {R"([{"kind":"service","metadata":{"name":"readings"},
        "spec":{"address":"198.51.100.1","port":7000}},
        {"kind":"rule","metadata":{"name":"readings"},"spec":{"service":"readings","selector":{"client":"c"}}}])"};
    StoreStandin store;
    std::atomic<std::uint64_t> inForce {0};
    std::atomic<bool> hasLaggingBalancer {false};
    std::unique_ptr<ControlServer> server;
    std::map<std::string, std::string> environment;
    std::string out;
    std::string err;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CtlTest, CtlFixture)

// Guards against a command with another effect or exit code than operators' scripts expect.
BOOST_AUTO_TEST_CASE(ctlAppliesWatchesListsAndDeletes)
{
    BOOST_TEST(run({"apply", "-f", resources.name}) == 0, err);
    BOOST_TEST(run({"apply", "-f", resources.name}) == 0, err);
    BOOST_TEST(run({"watch", "service", "readings"}) == 0, err);
    BOOST_TEST(run({"get", "services", "readings"}) == 0, err);
    BOOST_TEST(out.find(R"("generation":1)") != std::string::npos);
    BOOST_TEST(run({"list", "rules"}) == 0, err);
    BOOST_TEST(run({"list", "targets"}) == 0, err);
    BOOST_TEST(run({"status"}) == 0, err);
    BOOST_TEST(run({"dump"}) == 0, err);
    BOOST_TEST(out == "{\"flows\":0}\n");
    BOOST_TEST(run({"delete", "service", "readings"}) == 1);
    BOOST_TEST(run({"delete", "rule", "readings"}) == 0, err);
    BOOST_TEST(run({"delete", "service", "readings", "--resource-version", "1"}) == 1);
    BOOST_TEST(err.find(R"("current")") != std::string::npos);
    BOOST_TEST(run({"delete", "service", "readings"}) == 0, err);
    BOOST_TEST(run({"get", "service", "readings"}) == 1);
}

// Guards against a watch that succeeds while a balancer lags, or that does not end at its timeout.
BOOST_AUTO_TEST_CASE(ctlWatchWithLaggingBalancerEndsUnavailableAndNamesIt)
{
    BOOST_TEST(run({"apply", "-f", resources.name}) == 0, err);
    hasLaggingBalancer = true;
    BOOST_TEST(run({"watch", "service", "readings", "--timeout-ms", "300"}) == 3);
    BOOST_TEST(err.find("b2") != std::string::npos);
}

// Guards against a usage error that is sent to a server or whose message does not name the wrong argument.
BOOST_AUTO_TEST_CASE(ctlWithInvalidUsageExitsWithTwoAndNamesTheFlag)
{
    const std::vector<std::pair<std::vector<std::string>, std::string>> cases = {
        {{}, "command"},
        {{"frob"}, "command"},
        {{"get", "service"}, "get"},
        {{"get", "table", "x"}, "KIND"},
        {{"get", "service", "a/b"}, "NAME"},
        {{"apply"}, "--file"},
        {{"apply", "-f", "/nonexistent"}, "--file"},
        {{"apply", "-f", key.name}, "--file"},
        {{"status", "--server", "localhost"}, "--server"},
        {{"status", "--timeout-ms", "0"}, "--timeout-ms"},
        {{"status", "--colour"}, "--colour"},
        {{"status", "--api-key-file", "/nonexistent"}, "--api-key-file"},
        {{"apply", "-f", resources.name, "--token", "t"}, "--token"},
    };
    for (const auto &[arguments, flag] : cases) {
        BOOST_TEST(run(arguments) == 2, flag);
        BOOST_TEST(err.find("rhubarblanectl: " + flag) == 0U, err);
    }
}

// Guards against sending a write to a second server although it may have taken effect on the first.
BOOST_AUTO_TEST_CASE(ctlWritesToTheNextServerOnlyIfNothingWasDone)
{
    std::atomic<int> requests {0};
    HttpServer fake;
    startFake(fake, 503, R"({"error":{"code":"outcomeUnknown","message":"m"}})", requests);
    const std::string good = environment["RHUBARBLANE_SERVER"];
    const TextFile versioned {R"({"kind":"drain","metadata":{"name":"t1","resourceVersion":"7"},"spec":{}})"};
    environment["RHUBARBLANE_SERVER"] = address(fake.port()) + "," + good;
    BOOST_TEST(run({"apply", "-f", versioned.name, "--token", "token-9"}) == 3);
    BOOST_TEST(err.find("--token=token-9") != std::string::npos);
    BOOST_TEST(requests == 1);
    fake.stop();

    startFake(fake, 503, R"({"error":{"code":"notStored","message":"m"}})", requests);
    environment["RHUBARBLANE_SERVER"] = address(fake.port()) + "," + good;
    BOOST_TEST(run({"apply", "-f", versioned.name}) == 1);
    BOOST_TEST(err.find("stale") != std::string::npos);
    fake.stop();

    // Nothing listens on port 1.
    environment["RHUBARBLANE_SERVER"] = address(1) + "," + good;
    BOOST_TEST(run({"apply", "-f", resources.name}) == 0, err);
    environment["RHUBARBLANE_SERVER"] = address(1);
    BOOST_TEST(run({"status"}) == 3);
}

BOOST_AUTO_TEST_SUITE_END()
