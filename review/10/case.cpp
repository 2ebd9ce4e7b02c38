// Balancers and agents are stopped and started while the store is down and its leases run out; the store returns.
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
        std::vector<std::unique_ptr<Endpoint>> endpoints;
        // The seeds of the settings are out of date: their machine is gone.
        for (int i = 0; i < 2; ++i) {
            balancers.push_back(std::make_unique<Node>(
                network, folder, "balancer", "frontend-" + std::to_string(i + 1), 11 + i, 31, "", 770, 99));
        }
        for (int i = 0; i < 3; ++i) {
            agents.push_back(std::make_unique<Node>(
                network, folder, "agent", "side-" + std::to_string(i + 1), 21 + i, 31, "desk", 770, 99));
            endpoints.push_back(std::make_unique<Endpoint>(network, record, *agents.back(), "desk",
                                                           "i-" + std::to_string(i + 1), "E" + std::to_string(i + 1)));
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
        std::atomic<bool> done {false};
        std::atomic<int> answered {0}, opened {0}, running {0};
        // Sixty users, each with a flow for up to 25 s and a request after every pause of 0.2 to 3.2 s.
        for (int user = 0; user < 60; ++user) {
            ++running;
            std::thread([&, user] {
                std::mt19937 pauses(static_cast<unsigned>(user) + static_cast<unsigned>(unixMs()));
                for (int n = 0; !done; ++n) {
                    const std::uint16_t port = client.open(ipOf(network.ip(41)), 8443);
                    opened += port != 0 ? 1 : 0;
                    const std::int64_t until = record.now() + 25000;
                    for (int k = 0; port != 0 && !done && record.now() < until && client.end(port) == FlowEnd::None; ++k) {
                        const std::string id = "q" + std::to_string(user) + "-" + std::to_string(n) + "-" + std::to_string(k);
                        answered += client.request(port, id, 6000).empty() ? 0 : 1;
                        sleepMs(200 + static_cast<int>(pauses() % 3000));
                    }
                    if (port != 0) {
                        client.close(port);
                    }
                    sleepMs(300);
                }
                --running;
            }).detach();
        }
        std::mt19937 random(static_cast<unsigned>(unixMs()));
        for (int round = 0; round < 8; ++round) {
            bool storeBack = false;
            sleepMs(6000);
            if (trouble) {
                store.setDown(true);
                record.line("the store is down, its leases run out");
            }
            sleepMs(1300 + static_cast<int>(random() % 300));
            // The planned work: balancers and two of the agents are stopped, and started again 1 s after their end.
            struct Restart {
                Node *node;
                int stopAt;
                int startAt;
            };
            std::vector<Restart> restarts {{balancers[0].get(), 50, -1},
                                           {balancers[1].get(), 50, -1},
                                           {agents[1].get(), 1300, -1},
                                           {agents[2].get(), 1300, -1}};
            const int storeReturns = 3000 + static_cast<int>(random() % 300);
            const std::int64_t begun = record.now();
            for (std::size_t left = restarts.size() + 1; left > 0; sleepMs(5)) {
                const int now = static_cast<int>(record.now() - begun);
                for (Restart &restart : restarts) {
                    if (restart.stopAt >= 0 && now >= restart.stopAt) {
                        record.line("SIGTERM to %s", restart.node->name.c_str());
                        restart.node->signal(SIGTERM);
                        restart.stopAt = -1;
                    } else if (restart.stopAt < 0 && restart.startAt < 0 && !restart.node->isRunning()) {
                        restart.startAt = now + 1000;
                    } else if (restart.startAt > 0 && now >= restart.startAt && !restart.node->isRunning()) {
                        restart.node->start();
                        record.line("%s starts", restart.node->name.c_str());
                        --left;
                    }
                }
                if (now >= storeReturns && !storeBack) {
                    storeBack = true;
                    --left;
                    if (trouble) {
                        store.setDown(false);
                        record.line("the store is back");
                    }
                }
            }
        }
        sleepMs(3000);
        done = true;
        waitFor([&] { return running == 0; }, 8000);
        client.stopReporting();
        record.line("%d flows opened, %d requests answered; %d open flows reset by the system", opened.load(),
                    answered.load(), broken.load());
        return broken == 0;
    });
}
