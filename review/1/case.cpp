// An endpoint leaves as planned, and its address goes to an endpoint of another service. A client behind a gateway uses
// a small range of ports in turn; it uses a port again only when the last flow of that port was closed by both ends.
#include "../standins.h"

using namespace review;

namespace
{

constexpr std::uint16_t FirstPort = 20000;
constexpr int GatewayPorts = 384;
constexpr double FlowsPerSecond = 24; // A port comes up again after 16 s.
constexpr double LeastReuseMs = 4000; // Longer than any retransmission interval of either end.
constexpr double AddressReuseMs = 2500; // addr_reuse_s is 2.

} // namespace

int main(int, char **argv)
{
    const SiteBounds bounds;
    Platform platform(argv[1], bounds);
    const Address intake {network().ip(8, 1), 443};
    const Address booking {network().ip(8, 1), 8443};
    platform.store.operatorPut(
        "op/config",
        configuration(3,
                      {{"r-intake", intake, "intake", "upload"}, {"r-booking", booking, "booking", "non_idempotent"}}));
    EndpointSettings settings;
    settings.heartbeatMs = bounds.heartbeatMs;
    settings.service = "intake";
    const Fleet fleet = startFleet(platform, settings, "booking");
    Client &gateway = platform.addClient(1);

    std::map<std::string, std::string> serviceOf; // By request id: the service that the route allows.
    int sent = 0;
    int answered = 0;
    int otherEnds = 0;
    int position = 0;
    double next = nowMs();
    bool traffic = true;
    platform.onTick = [&] {
        if (!traffic || nowMs() < next) {
            return;
        }
        next += 1000 / FlowsPerSecond;
        const auto port = static_cast<std::uint16_t>(FirstPort + position++ % GatewayPorts);
        const FlowId id {{gateway.ip(), port}, intake};
        if (const ClientFlow *last = gateway.find(id)) {
            if (!last->finished || nowMs() - last->finishedAt < LeastReuseMs) {
                return;
            }
            gateway.forget(id);
        }
        ClientFlow &flow = gateway.open(intake, port);
        const std::string request = "u-" + std::to_string(++sent);
        serviceOf[request] = "intake";
        gateway.request(flow, "POST", "/upload", request);
        flow.onOutcome = [&](ClientFlow &ended) {
            if (ended.outcome == Outcome::Answered) {
                ++answered;
                gateway.closeFlow(ended);
            } else {
                ++otherEnds;
            }
        };
    };
    platform.run(12000);
    if (Platform::trouble()) {
        Endpoint &leaving = *fleet.endpoints[0];
        leaving.drain();
        if (!platform.run(bounds.drainMs + 4000, [&] {
                return leaving.drainAcked() != 0 && nowMs() - leaving.drainAcked() > bounds.drainMs + 500;
            })) {
            quit(2, "the status report was not acknowledged");
        }
        leaving.leave();
        std::thread([&] { fleet.agents[0]->stop(); }).detach();
        const double gone = nowMs();
        platform.run(AddressReuseMs);
        record().line("platform: the address is used again, %.0f ms after its endpoint ended", nowMs() - gone);
        settings.ip = network().ip(2, 1);
        settings.service = "booking";
        platform.startAgent(settings.ip, "side-ktm-a-99", settings.service);
        platform.addEndpoint("i-99", settings);
    }
    platform.run(25000);
    traffic = false;
    platform.run(3000);

    int foreign = 0;
    for (const Run &run : platform.runs) {
        const auto allowed = serviceOf.find(run.id);
        if (allowed != serviceOf.end() && allowed->second != run.service) {
            ++foreign;
            record().line("broken: %s may go to %s only and was run by endpoint %s of %s",
                          run.id.c_str(),
                          allowed->second.c_str(),
                          run.endpoint.c_str(),
                          run.service.c_str());
        }
    }
    char verdict[300];
    std::snprintf(verdict,
                  sizeof(verdict),
                  "requests for intake %d, answered %d, ended otherwise %d, run by a service that no config allows: %d",
                  sent,
                  answered,
                  otherEnds,
                  foreign);
    if (answered < 50) {
        quit(2, std::string("too few answers; ") + verdict);
    }
    quit(foreign > 0 ? 1 : 0, verdict);
}
