// The store comes back from a copy some seconds old while the operator works on two zones in turn: each is evacuated and
// taken back.
#include "../standins-3.h"

using namespace review;

namespace
{

constexpr double EvacuateSeconds = 5.0; ///< evacuate_ms
constexpr double CopyAge = 4.0;
constexpr double Away = 0.5;

int run(const std::string &recordFile, const std::string &folder, bool trouble)
{
    // The threads of the stand-ins run until the process ends.
    Deployment &deployment = *new Deployment(2, 4, folder, 2, "bounds.evacuate_ms=5000\n");
    record().open(recordFile);
    record().line("TROUBLE=%d", trouble ? 1 : 0);
    if (!deployment.start()) {
        return finish(2, "an address is not free");
    }
    std::atomic<int> openings {0};
    for (auto &endpoint : deployment.endpoints) {
        if (deployment.zoneOf(endpoint->machine()) == "zone-b") {
            endpoint->onOpening = [&](Endpoint &, const Packet &packet) {
                record().line("an endpoint of zone-b takes the opening packet of port %u", packet.sport);
                ++openings;
            };
        }
        endpoint->workSeconds = 0.1;
        endpoint->boot("i-" + std::to_string(endpoint->machine()) + "a");
    }
    if (!deployment.waitForBalancers(10) || !deployment.waitForReports(10)) {
        return finish(2, "the deployment did not start");
    }
    sleepFor(5.0); // all machines are in touch, entries of balancers are settled

    // Each client opens a flow for each request.
    std::atomic<bool> working {true};
    std::atomic<int> opened {0};
    std::atomic<int> refused {0};
    std::atomic<int> unanswered {0};
    std::vector<std::thread> clients;
    for (unsigned client = 0; client < 4; ++client) {
        clients.emplace_back([&, client] {
            while (working) {
                Deployment::Flow flow;
                flow.client = client;
                if (!deployment.openFlow(flow)) {
                    ++refused;
                } else {
                    ++opened;
                    const std::string work = "work-" + std::to_string(flow.port);
                    unanswered += deployment.request(flow, work, 1.2) == Outcome::Answered ? 0 : 1;
                }
                sleepFor(0.05);
            }
        });
    }

    // Zone-a is evacuated, and the config changes several times. The store then comes back from a copy made before that,
    // and the operator writes again what is gone.
    deployment.store.copy();
    const double copied = now();
    deployment.store.put("op/evacuate/zone-a", "{}");
    int version = 3;
    for (int change = 0; change < 8; ++change) {
        sleepFor(0.4);
        deployment.store.put("op/config", deployment.config(version += 2));
    }
    sleepUntil(copied + CopyAge - Away);
    if (trouble) {
        deployment.store.restore(Away);
        sleepFor(0.2);
        deployment.store.put("op/config", deployment.config(version));
        deployment.store.put("op/evacuate/zone-a", "{}");
    }
    sleepFor(4.5); // longer than stable_ms: the core is stable

    // The work on zone-a is done. It is taken back, and zone-b is evacuated.
    deployment.store.erase("op/evacuate/zone-a");
    sleepFor(1.0);
    deployment.store.put("op/evacuate/zone-b", "{}");
    const double acknowledged = now();
    record().line("the evacuation of zone-b is acknowledged");
    sleepUntil(acknowledged + EvacuateSeconds);
    openings = 0;
    sleepFor(5.0);
    const int late = openings;
    const int lost = unanswered;

    // The operator switches off the endpoints of zone-b. Those of zone-a are ready.
    for (auto &endpoint : deployment.endpoints) {
        if (deployment.zoneOf(endpoint->machine()) == "zone-b") {
            endpoint->exit();
        }
    }
    sleepFor(5.0); // a switched-off endpoint is known as such after some reports
    opened = 0;
    refused = 0;
    sleepFor(4.0);
    const int served = opened;
    const int denied = refused;
    working = false;
    for (std::thread &client : clients) {
        client.join();
    }
    record().line("%d requests on open flows got no answer when zone-b was switched off", unanswered - lost);
    record().line("from 5 to 9 s after that, with zone-a ready, %d flows were opened and %d were not", served, denied);
    record().line("%d opening packets reached endpoints of the evacuated zone from 5 to 10 s after the acknowledgement",
                  late);
    if (deployment.anyCrashed()) {
        return finish(1, "a process ended by itself");
    }
    return late > 0 ? finish(1, "EVAC broken: the evacuated zone got new flows") : finish(0, "held");
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, run);
}
