// The service of a route changes while flows are open; then a balancer is stopped and started as planned.
#include "../standins-2.h"

using namespace review;

namespace
{

std::string config(int version, const Network &network, const std::string &first, const std::string &second)
{
    const auto route = [&](const char *name, int host, const std::string &target) {
        return std::string("{\"name\":\"") + name + "\",\"hostname\":\"" + network.ip(host)
            + "\",\"prefix\":\"/8443/\",\"type\":\"idempotent\",\"timeout_ms\":1000,\"slo_ms\":150,\"priority\":1," + target
            + ",\"max_attempts\":2}";
    };
    const auto service = [](const char *name) {
        return std::string("{\"name\":\"") + name
            + "\",\"health_path\":\"/health\",\"max_conns\":2000,\"protocol\":\"h1\",\"tls\":false}";
    };
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + route("r-board", 41, first) + ","
        + route("r-canary", 42, second) + "],\"services\":[" + service("desk-old") + "," + service("desk-new")
        + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
          "\"idle_timeout_ms\":15000}}";
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, [](Record &record, const std::string &folder, bool trouble) {
        // The threads of these stand-ins run until the process ends.
        const Network &network = *new Network;
        const std::string oldOnly = "\"service\":\"desk-old\"";
        const std::string newOnly = "\"service\":\"desk-new\"";
        const std::string both = "\"weighted_backends\":[{\"service\":\"desk-old\",\"weight\":50},"
                                 "{\"service\":\"desk-new\",\"weight\":50}]";
        Store &store = *new Store(network, 31);
        store.put("op/config", config(7, network, oldOnly, both));

        std::vector<std::unique_ptr<Node>> balancers, agents;
        std::vector<std::unique_ptr<Endpoint>> endpoints;
        for (int i = 0; i < 2; ++i) {
            balancers.push_back(
                std::make_unique<Node>(network, folder, "balancer", "frontend-" + std::to_string(i + 1), 11 + i, 31));
        }
        for (int i = 0; i < 4; ++i) {
            const std::string service = i < 2 ? "desk-old" : "desk-new";
            agents.push_back(
                std::make_unique<Node>(network, folder, "agent", "side-" + std::to_string(i + 1), 21 + i, 31, service));
            endpoints.push_back(std::make_unique<Endpoint>(
                network, record, *agents.back(), service, "i-" + std::to_string(i + 1), "E" + std::to_string(i + 1)));
        }
        Router &router = *new Router(network, record, {balancers[0]->ip, balancers[1]->ip});
        Client &client = *new Client(network, record, router, 1);
        std::atomic<int> broken {0};
        client.onReset = [&](const FlowKey &key) {
            for (const auto &endpoint : endpoints) {
                if (endpoint->holds(key)) {
                    ++broken;
                    record.line("FLOW: flow %u was reset by the system; its endpoint %s lives and holds it", key.sport,
                                endpoint->boot.c_str());
                }
            }
        };
        if (!waitFor([&] {
                return router.allReady() && std::all_of(endpoints.begin(), endpoints.end(),
                                                        [](const auto &endpoint) { return endpoint->reports() > 0; });
            }, 10000)) {
            throw CannotRun("the system did not start");
        }
        sleepMs(1500);

        // Twelve flows a route, each with a request about twice a second.
        std::vector<std::uint16_t> ports;
        for (int i = 0; i < 24; ++i) {
            ports.push_back(client.openWithRetries(ipOf(network.ip(41 + i % 2)), 8443));
        }
        std::atomic<bool> done {false};
        std::atomic<int> answered {0};
        std::vector<std::thread> users;
        for (const std::uint16_t port : ports) {
            users.emplace_back([&, port] {
                for (int n = 0; !done && client.end(port) == FlowEnd::None; ++n) {
                    answered += client.request(port, "q" + std::to_string(port) + "-" + std::to_string(n), 4000).empty() ? 0 : 1;
                    sleepMs(400);
                }
            });
        }
        sleepMs(5000);
        // The routes go to the new service. Without the disruption the version changes nothing.
        store.put("op/config", trouble ? config(9, network, newOnly, newOnly) : config(9, network, oldOnly, both));
        record.line("the store acknowledges version 9%s", trouble ? ": both routes go to desk-new" : " without a change");
        sleepMs(5000);
        // The planned work: each balancer is stopped, and started again 1 s after its end.
        for (const auto &balancer : balancers) {
            record.line("SIGTERM to %s", balancer->name.c_str());
            const int took = balancer->stop();
            record.line("%s ended after %d ms", balancer->name.c_str(), took);
            sleepMs(1000);
            balancer->start();
            record.line("%s starts", balancer->name.c_str());
            if (!waitFor([&] { return router.allReady(); }, 10000)) {
                throw CannotRun("a balancer did not return");
            }
            sleepMs(4000);
        }
        done = true;
        for (std::thread &user : users) {
            user.join();
        }
        client.stopReporting();
        record.line("%d requests answered; %d of %zu open flows reset by the system", answered.load(), broken.load(),
                    ports.size());
        return broken == 0;
    });
}
