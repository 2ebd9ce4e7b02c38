// The time of day of a machine is ahead while its endpoint restarts and jumps back before the endpoint restarts once
// more. Long after that, the endpoint leaves as planned.
#include "../standins.h"

using namespace review;

namespace
{

constexpr int Boards = 80; // Each keeps a flow open for many requests.
constexpr double PauseMs = 300;
constexpr int RequestsPerFlow = 4;
constexpr std::int64_t ClockStepMs = 2400;
constexpr double RestartMs = 300;
constexpr double ServesAfterAckMs = 6000; // drain_ms and some seconds longer.

} // namespace

int main(int, char **argv)
{
    const SiteBounds bounds;
    Platform platform(argv[1], bounds);
    const Address service {network().ip(8, 1), 443};
    platform.store.operatorPut("op/config", configuration(3, {{"r-desk", service, "desk", "idempotent"}}));
    EndpointSettings settings;
    settings.service = "desk";
    settings.slots = 2;
    settings.workMs = 15;
    settings.heartbeatMs = bounds.heartbeatMs;
    const Fleet fleet = startFleet(platform, settings, "other");
    Client &client = platform.addClient(1);

    struct Board {
        FlowId flow;
        int left = 0;
        double next = 0;
    };
    int sent = 0;
    int answered = 0;
    int otherEnds = 0;
    std::vector<Board> boards(Boards);
    for (std::size_t i = 0; i < boards.size(); ++i) {
        boards[i].next = nowMs() + static_cast<double>(i) * PauseMs / Boards;
    }
    bool traffic = true;
    platform.onTick = [&] {
        for (Board &board : boards) {
            if (!traffic || nowMs() < board.next) {
                continue;
            }
            ClientFlow *flow = board.left > 0 ? client.find(board.flow) : nullptr;
            if (flow == nullptr || flow->finished || flow->closing) {
                flow = &client.open(service);
                board.flow = flow->id;
                board.left = RequestsPerFlow;
                flow->onOutcome = [&, at = &board - boards.data()](ClientFlow &ended) {
                    Board &own = boards[static_cast<std::size_t>(at)];
                    own.next = nowMs() + PauseMs;
                    ++(ended.outcome == Outcome::Answered ? answered : otherEnds);
                    if (ended.outcome == Outcome::Answered && own.left == 0) {
                        client.closeFlow(ended);
                    }
                };
            }
            --board.left;
            board.next = nowMs() + 60000; // Until the request has ended.
            client.request(*flow, "GET", "/board", "q-" + std::to_string(++sent));
        }
        for (auto flow = client.flows().begin(); flow != client.flows().end();) {
            const ClientFlow &state = *flow->second;
            flow = state.finished && nowMs() - state.finishedAt > 3000 ? client.flows().erase(flow) : std::next(flow);
        }
    };
    platform.run(6000);

    Endpoint *leaving = fleet.endpoints[0];
    settings.ip = network().ip(2, 1);
    const auto restart = [&](std::int64_t clockOffset) {
        leaving->crash();
        platform.run(RestartMs);
        settings.clockOffsetMs = clockOffset;
        leaving = &platform.addEndpoint("i-1", settings);
    };
    const bool trouble = Platform::trouble();
    if (trouble) {
        record().line("platform: the time of day jumps ahead by %lld ms on the machine of i-1",
                      static_cast<long long>(ClockStepMs));
    }
    restart(trouble ? ClockStepMs : 0);
    platform.run(RestartMs);
    if (trouble) {
        record().line("platform: the time of day jumps back");
    }
    restart(0);
    platform.run(12000); // Three times stable_ms.

    int late = 0;
    int taken = 0;
    platform.onSyn = [&](Endpoint &endpoint, const FlowId &id) {
        if (&endpoint != leaving) {
            return;
        }
        ++taken;
        const double acked = leaving->drainAcked();
        if (acked != 0 && nowMs() - acked > bounds.drainMs) {
            ++late;
            record().line("broken: %s reaches %s %.0f ms after the acknowledgement of draining",
                          text(id).c_str(),
                          endpoint.id().c_str(),
                          nowMs() - acked);
        }
    };
    platform.run(3000);
    const int before = taken;
    leaving->drain();
    if (!platform.run(5000, [&] { return leaving->drainAcked() != 0; })) {
        quit(2, "the status report was not acknowledged");
    }
    platform.run(ServesAfterAckMs);
    leaving->leave();
    traffic = false;
    platform.run(2000);
    char verdict[300];
    std::snprintf(
        verdict,
        sizeof(verdict),
        "requests %d, answered %d, ended otherwise %d; new flows at the endpoint in the 3 s before it leaves: %d, "
        "later than drain_ms after the acknowledgement: %d",
        sent,
        answered,
        otherEnds,
        before,
        late);
    if (answered < 100) {
        quit(2, std::string("too few answers; ") + verdict);
    }
    quit(late > 0 ? 1 : 0, verdict);
}
