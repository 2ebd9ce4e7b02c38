// Endpoints crash and start again at once under their ids. Clients keep flows open for two requests with a pause
// between them. A flow that the new boot holds must not be reset by the system.
#include "../standins.h"

using namespace review;

namespace
{

constexpr double NewFlowsPerSecond = 200;
constexpr int KeptEvery = 4; // One flow in so many is kept open for a second request after a pause.
constexpr int Boards = 8; // Each keeps a flow open and sends a request every 300 ms.
constexpr double BoardPauseMs = 300;
constexpr double PauseMs = 5500; // Below idle_timeout_ms, above stable_ms.
constexpr int Crashes = 7;
constexpr double RestartMs = 300;
// From the moment when the endpoint accepts flows to its first status report; a quarter of the heartbeat interval.
constexpr double FirstReportMs = 300;

} // namespace

int main(int, char **argv)
{
    const SiteBounds bounds;
    Platform platform(argv[1], bounds);
    const Address service {network().ip(8, 1), 443};
    platform.store.operatorPut("op/config", configuration(3, {{"r-desk", service, "desk", "idempotent"}}));
    EndpointSettings settings;
    settings.service = "desk";
    settings.heartbeatMs = bounds.heartbeatMs;
    settings.firstReportMs = FirstReportMs;
    const Fleet fleet = startFleet(platform, settings, "other");
    Client &client = platform.addClient(1);

    struct User {
        double secondAt = 0;
        bool kept = false;
        bool secondSent = false;
    };
    std::map<FlowId, User> users;
    struct Board {
        FlowId flow;
        double next = 0;
    };
    std::vector<Board> boards(Boards);
    int boardRequests = 0;
    int sent = 0;
    int answered = 0;
    int otherEnds = 0;
    int broken = 0;
    int earlyResets = 0;
    double nextFlow = nowMs();
    bool traffic = true;
    const auto holder = [&](const FlowId &id) -> Endpoint * {
        for (const auto &endpoint : platform.endpoints()) {
            if (endpoint->holds(id)) {
                return endpoint.get();
            }
        }
        return nullptr;
    };
    platform.onTick = [&] {
        for (Board &board : boards) {
            if (!traffic || nowMs() < board.next) {
                continue;
            }
            ClientFlow *flow = client.find(board.flow);
            if (flow == nullptr || flow->finished || flow->closing) {
                flow = &client.open(service);
                board.flow = flow->id;
                flow->onOutcome = [&boards, at = &board - boards.data()](ClientFlow &) {
                    boards[static_cast<std::size_t>(at)].next = nowMs() + BoardPauseMs;
                };
            }
            board.next = nowMs() + 60000; // Until the request has ended.
            client.request(*flow, "GET", "/board", "b-" + std::to_string(++boardRequests));
        }
        while (traffic && nowMs() >= nextFlow) {
            nextFlow += 1000 / NewFlowsPerSecond;
            ClientFlow &flow = client.open(service);
            users[flow.id].kept = sent % KeptEvery == 0;
            client.request(flow, "GET", "/board", "q-" + std::to_string(++sent));
            flow.onOutcome = [&](ClientFlow &ended) {
                User &user = users[ended.id];
                if (ended.outcome == Outcome::Answered) {
                    ++answered;
                    if (user.secondSent || !user.kept) {
                        client.closeFlow(ended);
                    } else {
                        user.secondAt = nowMs() + PauseMs;
                    }
                    return;
                }
                ++otherEnds;
                if (ended.outcome != Outcome::ResetBySystem) {
                    return;
                }
                Endpoint *endpoint = holder(ended.id);
                if (endpoint != nullptr) {
                    const double age = nowMs() - endpoint->started();
                    record().line(
                        "%s: flow %s is open at endpoint %s, which started %.0f ms ago, opened %.0f ms after start",
                        age > bounds.stableMs ? "broken" : "not counted",
                        text(ended.id).c_str(),
                        endpoint->id().c_str(),
                        age,
                        endpoint->openedAt(ended.id) - endpoint->started());
                    ++(age > bounds.stableMs ? broken : earlyResets);
                }
            };
        }
        for (auto &[id, user] : users) {
            if (user.secondAt != 0 && !user.secondSent && nowMs() >= user.secondAt) {
                user.secondSent = true;
                if (ClientFlow *flow = client.find(id)) {
                    if (!flow->finished) {
                        client.request(*flow, "GET", "/board", "q-" + std::to_string(++sent));
                    }
                }
            }
        }
        for (auto user = users.begin(); user != users.end();) {
            ClientFlow *flow = client.find(user->first);
            if (flow != nullptr && flow->finished && nowMs() - flow->finishedAt > 3000) {
                client.forget(user->first);
                flow = nullptr;
            }
            user = flow == nullptr ? users.erase(user) : std::next(user);
        }
    };
    platform.run(8000);
    Endpoint *current = fleet.endpoints[0];
    settings.ip = network().ip(2, 1);
    for (int round = 0; round < Crashes; ++round) {
        if (Platform::trouble()) {
            current->crash();
            platform.run(RestartMs);
            current = &platform.addEndpoint("i-1", settings);
        }
        platform.run(10000);
    }
    traffic = false;
    platform.run(8000);
    char verdict[300];
    std::snprintf(
        verdict,
        sizeof(verdict),
        "requests %d, answered %d, ended otherwise %d; resets of open flows at a living endpoint: %d later than "
        "stable_ms after its start, %d earlier",
        sent,
        answered,
        otherEnds,
        broken,
        earlyResets);
    if (answered < 100) {
        quit(2, std::string("too few answers; ") + verdict);
    }
    quit(broken > 0 ? 1 : 0, verdict);
}
