// The open connections to the store go silent for good, without a reset, while new ones work. A configuration that the
// store acknowledges after stable_ms must be in force within config_apply_ms.
#include "../standins.h"

using namespace review;

namespace
{

// The svs-humlog site starts with 7 frontends; add_nodes takes it to up to 18.
constexpr int DefaultBalancers = 12;
constexpr double ProbeIntervalMs = 50;
constexpr double ProbePeriodMs = 14000;

} // namespace

int main(int, char **argv)
{
    const SiteBounds bounds;
    Platform platform(argv[1], bounds);
    const char *const count = std::getenv("BALANCERS");
    const auto balancers = static_cast<unsigned>(count == nullptr ? DefaultBalancers : std::atoi(count));
    const Address kept {network().ip(8, 1), 443};
    const Address dropped {network().ip(8, 1), 8443};
    const Address added {network().ip(8, 2), 8080};
    const Route keptRoute {"r-kept", kept, "desk", "idempotent"};
    const Route droppedRoute {"r-dropped", dropped, "desk", "idempotent"};
    const Route addedRoute {"r-added", added, "desk", "idempotent"};
    platform.store.operatorPut("op/config", configuration(3, {keptRoute}));
    for (unsigned host = 1; host <= balancers; ++host) {
        platform.startBalancer(host);
    }
    EndpointSettings settings;
    settings.service = "desk";
    settings.heartbeatMs = bounds.heartbeatMs;
    for (unsigned host = 1; host <= 2; ++host) {
        settings.ip = network().ip(2, host);
        platform.startAgent(settings.ip, "side-ktm-a-" + std::to_string(host), "desk");
        platform.addEndpoint("i-desk-" + std::to_string(host), settings);
    }
    Client &client = platform.addClient(1);
    if (!platform.run(30000, [&] {
            return platform.router.inRotation().size() == balancers && platform.endpoints()[0]->acks() > 1
                && platform.endpoints()[1]->acks() > 1;
        })) {
        quit(2, "the system did not become ready");
    }
    platform.run(10000); // The processes learn of one another.

    record().line("operator writes version 5");
    platform.store.operatorPut("op/config", configuration(5, {keptRoute, droppedRoute}));
    platform.run(1000);
    const double silenced = nowMs();
    if (Platform::trouble()) {
        const int open = platform.store.silenceOpenConnections();
        record().line("platform: %d open connections to the store go silent; new ones work", open);
    }
    platform.run(bounds.stableMs + 200);
    const double acked = platform.store.operatorPut("op/config", configuration(8, {keptRoute, addedRoute}));
    record().line("operator: version 8 is acknowledged, %.0f ms after the connections went silent", acked - silenced);

    struct Probe {
        double sentAfterAck;
        Address route;
    };
    std::map<FlowId, Probe> probes;
    int late = 0;
    int lateRunOnDropped = 0;
    int lateRefusedOnAdded = 0;
    int answeredOnAdded = 0;
    int answeredOnKept = 0;
    double lastOld = 0;
    int sent = 0;
    double next = nowMs();
    platform.onTick = [&] {
        if (nowMs() < next || nowMs() - acked > ProbePeriodMs) {
            return;
        }
        next += ProbeIntervalMs;
        for (const Address &route : {kept, dropped, added}) {
            ClientFlow &flow = client.open(route);
            const double age = nowMs() - acked;
            probes[flow.id] = {age, route};
            client.request(flow, "GET", "/board", "q-" + std::to_string(++sent));
            flow.onOutcome = [&](ClientFlow &ended) {
                const Probe &probe = probes[ended.id];
                const bool answered = ended.outcome == Outcome::Answered;
                if (answered) {
                    client.closeFlow(ended);
                }
                answeredOnKept += answered && probe.route == kept ? 1 : 0;
                answeredOnAdded += answered && probe.route == added ? 1 : 0;
                const bool old = (answered && probe.route == dropped)
                    || (ended.outcome == Outcome::ResetBeforeOpen && probe.route == added);
                lastOld = old ? std::max(lastOld, probe.sentAfterAck) : lastOld;
                if (probe.sentAfterAck > bounds.configMs) {
                    ++late;
                    if (old) {
                        ++(answered ? lateRunOnDropped : lateRefusedOnAdded);
                        record().line("broken: %s, sent %.0f ms after the acknowledgement, was %s",
                                      text(ended.id).c_str(),
                                      probe.sentAfterAck,
                                      answered ? "run with a dropped route" : "refused though the route is there");
                    }
                }
            };
        }
    };
    platform.run(ProbePeriodMs + 2000);
    char verdict[400];
    std::snprintf(
        verdict,
        sizeof(verdict),
        "of %d requests sent later than config_apply_ms: %d run with a dropped route, %d refused though the route "
        "is there; last handled as an older version allows: sent %.0f ms after the acknowledgement (limit %d)",
        late,
        lateRunOnDropped,
        lateRefusedOnAdded,
        lastOld,
        bounds.configMs);
    if (answeredOnKept < 100 || answeredOnAdded == 0) {
        quit(2, std::string("too few answers; ") + verdict);
    }
    quit(lateRunOnDropped + lateRefusedOnAdded > 0 ? 1 : 0, verdict);
}
