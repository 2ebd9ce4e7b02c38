#define BOOST_TEST_MODULE Api
#include "control/controlserver.h"

#include <cpprest/http_client.h>

#include <boost/test/unit_test.hpp>

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
        hooks.inForce = [] { return std::vector<BalancerRevision>(); };
    }

    static web::http::http_response fetch(const ControlServer &server, const std::string &path)
    {
        web::http::client::http_client client("http://127.0.0.1:" + std::to_string(server.httpPort()));
        return client.request(web::http::methods::GET, path).get();
    }

    ControlSettings settings;
    ControlHooks hooks;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ControlServerTest, ControlServerFixture)

// Guards against a server that is started without its listener, or that keeps its port after stop.
BOOST_AUTO_TEST_CASE(controlServerStartedAndStoppedTwiceAnswersEachTime)
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

BOOST_AUTO_TEST_SUITE_END()
