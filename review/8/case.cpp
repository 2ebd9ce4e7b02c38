// A leaving endpoint's DELETE is held up by a partition and arrives after a new boot has registered under the same id.
#include "../standins-2.h"

using namespace review;

int main(int argc, char **argv)
{
    return runCase(argc, argv, [](Record &record, const std::string &folder, bool trouble) {
        // The threads of these stand-ins run until the process ends.
        const Network &network = *new Network;
        Store &store = *new Store(network, 31);
        store.put("op/config",
                  "{\"version\":7,\"routes\":[{\"name\":\"r-board\",\"hostname\":\"" + network.ip(41)
                      + "\",\"prefix\":\"/8443/\",\"type\":\"non_idempotent\",\"timeout_ms\":1000,\"slo_ms\":150,"
                        "\"priority\":1,\"service\":\"desk\",\"max_attempts\":2}],\"services\":[{\"name\":\"desk\","
                        "\"health_path\":\"/health\",\"max_conns\":2000,\"protocol\":\"h1\",\"tls\":false}],"
                        "\"limits\":{\"idle_timeout_ms\":15000}}");
        std::vector<std::unique_ptr<Node>> balancers, agents;
        for (int i = 0; i < 2; ++i) {
            balancers.push_back(
                std::make_unique<Node>(network, folder, "balancer", "frontend-" + std::to_string(i + 1), 11 + i, 31));
            agents.push_back(
                std::make_unique<Node>(network, folder, "agent", "side-" + std::to_string(i + 1), 21 + i, 31, "desk"));
        }
        Router &router = *new Router(network, record, {balancers[0]->ip, balancers[1]->ip});
        Client &client = *new Client(network, record, router, 1);
        Endpoint other(network, record, *agents[1], "desk", "i-2", "other");
        auto first = std::make_unique<Endpoint>(network, record, *agents[0], "desk", "i-1", "boot-1");
        if (!waitFor([&] { return router.allReady() && first->reports() > 0 && other.reports() > 0; }, 10000)) {
            throw CannotRun("the system did not start");
        }
        sleepMs(1500);

        // The planned shutdown of the first boot.
        if (!first->drain(5000)) {
            throw CannotRun("draining was not acknowledged");
        }
        sleepMs(3500);
        const std::string path = first->path();
        if (trouble) {
            record.line("boot-1 sends DELETE %s; held up by the partition, no answer", path.c_str());
            sleepMs(2000);
        } else {
            const int status = httpCall(agents[0]->ip, network.control, "DELETE", path, "", 1000);
            record.line("boot-1 sends DELETE %s; answer %d", path.c_str(), status);
        }
        first->end();
        sleepMs(1000);

        // The endpoint starts again under the id that it had; the partition is over.
        Endpoint second(network, record, *agents[0], "desk", "i-1", "boot-2");
        std::atomic<int> broken {0};
        client.onReset = [&](const FlowKey &key) {
            for (Endpoint *endpoint : {&second, &other}) {
                if (endpoint->holds(key)) {
                    ++broken;
                    record.line("FLOW: flow %u was reset by the system; its endpoint %s lives and holds it", key.sport,
                                endpoint->boot.c_str());
                }
            }
        };
        if (!waitFor([&] { return second.reports() > 1; }, 5000)) {
            throw CannotRun("the second boot was not acknowledged");
        }
        std::vector<std::uint16_t> ports;
        for (int i = 0; i < 24; ++i) {
            ports.push_back(client.openWithRetries(ipOf(network.ip(41)), 8443));
        }
        std::atomic<bool> done {false};
        std::atomic<int> answered {0};
        std::vector<std::thread> users;
        for (const std::uint16_t port : ports) {
            users.emplace_back([&, port] {
                for (int n = 0; !done && client.end(port) == FlowEnd::None; ++n) {
                    answered += client.request(port, "q" + std::to_string(port) + "-" + std::to_string(n), 4000).empty() ? 0 : 1;
                    sleepMs(150);
                }
            });
        }
        // Longer than the time after which a machine is in touch again.
        sleepMs(5000);
        record.line("boot-2 holds %zu open flows", second.openFlows());
        if (trouble) {
            const int status = httpCall(agents[0]->ip, network.control, "DELETE", path, "", 1000);
            record.line("the DELETE of boot-1 arrives; answer %d", status);
        }
        sleepMs(4000);
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
