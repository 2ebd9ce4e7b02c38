#define BOOST_TEST_MODULE ColdStartLimiter
#include "relay/coldstartlimiter.h"

#include "tests/relaysimulation.h"

#include <boost/test/unit_test.hpp>

using namespace rhubarblane;

namespace
{

constexpr std::uint32_t Limit = 3;

struct ColdStartLimiterFixture {
    /** Offers `flows` flows and returns how many of them were accepted. */
    int offer(int flows, std::uint32_t limit = Limit)
    {
        int accepted = 0;
        for (int i = 0; i < flows; ++i) {
            if (limiter.mayOpen(now, limit)) {
                limiter.noteOpening(now);
                ++accepted;
            }
        }
        return accepted;
    }

    Timestamp now {50000};
    ColdStartLimiter limiter;
};

/** Two balancers and agents with targets that are cold for a time, under a declared limit. */
struct ColdTargetsFixture {
    ColdTargetsFixture()
    {
        for (std::uint32_t host = 1; host <= 2; ++host) {
            balancers.push_back(&simulation.addBalancer("balancer-" + std::to_string(host), host));
        }
        publish(1, 3.0);
    }

    void addTarget(std::uint32_t host, std::int64_t coldMs)
    {
        const std::string number = std::to_string(host);
        agents.push_back(&simulation.addAgent("agent-" + number, host, "desk", "desk-" + number));
        agents.back()->target.coldUntil = simulation.now() + Milliseconds(coldMs);
    }

    /** Declares the rate of new flows of a cold target; with the factor 1 it is the limit. */
    void publish(std::uint64_t version, double rate)
    {
        ServiceTable table = relayTable(version);
        table.services.begin()->second.groups.front().coldFlowRate = rate;
        simulation.setTable(table);
    }

    /** Each balancer receives a new flow every 20 ms. */
    void openFlows(std::int64_t milliseconds)
    {
        for (std::int64_t time = 0; time < milliseconds; time += 20) {
            for (RelaySimulation::Vm *balancer : balancers) {
                simulation.send(*balancer, RelayCaller(++port).opening());
            }
            simulation.run(20);
        }
    }

    RelaySimulation simulation;
    std::vector<RelaySimulation::Vm *> balancers;
    std::vector<RelaySimulation::Vm *> agents;
    std::uint16_t port = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ColdStartLimiterTest, ColdStartLimiterFixture)

// Guards against two seconds that each keep the limit while a second between them does not.
BOOST_AUTO_TEST_CASE(limiterOfColdTargetKeepsLimitInAnySecond)
{
    limiter.noteReport(now, Milliseconds(60000));
    std::deque<Timestamp> accepted;
    for (int step = 0; step < 2000; ++step) {
        now = now + Milliseconds(7);
        if (offer(1) == 1) {
            accepted.push_back(now);
        }
        while (!accepted.empty() && now - accepted.front() > Milliseconds(1000)) {
            accepted.pop_front();
        }
        BOOST_REQUIRE(accepted.size() <= Limit);
    }
}

// Guards against openings that the agent passed a second apart and that arrive closer together.
BOOST_AUTO_TEST_CASE(limiterAtEdgeOfSecondWaitsForMargin)
{
    limiter.noteReport(now, Milliseconds(60000));
    BOOST_TEST(offer(10) == 3);
    now = now + Milliseconds(1000);
    BOOST_TEST(offer(10) == 0);
    now = now + Milliseconds(99);
    BOOST_TEST(offer(10) == 0);
    now = now + Milliseconds(1);
    BOOST_TEST(offer(10) == 3);
}

// Guards against a limit for targets that are warm or have none declared.
BOOST_AUTO_TEST_CASE(limiterOfWarmOrUnlimitedTargetAcceptsAll)
{
    BOOST_TEST(offer(100) == 100);
    limiter.noteReport(now, Milliseconds(2000));
    BOOST_TEST(offer(100, 0) == 100);
    BOOST_TEST(!limiter.openingsLeft(now).has_value());
    now = now + Milliseconds(2000);
    BOOST_TEST(offer(100) == 100);
}

// Guards against flows that do not count because they were opened just before the target became cold.
BOOST_AUTO_TEST_CASE(limiterOfTargetThatBecomesColdCountsFlowsBefore)
{
    BOOST_TEST(offer(2) == 2);
    now = now + Milliseconds(500);
    limiter.noteReport(now, Milliseconds(2000));
    BOOST_TEST(offer(10) == 1);
    now = now + Milliseconds(600);
    BOOST_TEST(offer(10) == 2);
}

// Guards against a new limit that applies only to the next cold period.
BOOST_AUTO_TEST_CASE(limiterWithChangedLimitAppliesItAtOnce)
{
    limiter.noteReport(now, Milliseconds(2000));
    BOOST_TEST(offer(10, 3) == 3);
    BOOST_TEST(offer(10, 5) == 2);
    BOOST_TEST(offer(10, 2) == 0);
    BOOST_TEST(limiter.openingsLeft(now).value() == 0u);
}

// Guards against a second limit's worth of flows after a restart of the agent.
BOOST_AUTO_TEST_CASE(limiterThatMissedFlowsAcceptsNoneForSecond)
{
    limiter.noteReport(now, Milliseconds(5000));
    limiter.assumeFull(now);
    BOOST_TEST(offer(10) == 0);
    now = now + Milliseconds(1099);
    BOOST_TEST(offer(10) == 0);
    now = now + Milliseconds(1);
    BOOST_TEST(offer(10) == 3);
}

// Guards against a full load in the time between the event that makes a target cold and its next report.
BOOST_AUTO_TEST_CASE(limiterOfTargetThatMayBeColdWaitsForLaterReport)
{
    limiter.noteReport(now, Milliseconds(0));
    limiter.assumeCold(now, Milliseconds(3000));
    now = now + Milliseconds(99);
    limiter.noteReport(now, Milliseconds(0));
    BOOST_TEST(limiter.isCold(now));
    now = now + Milliseconds(1);
    limiter.noteReport(now, Milliseconds(0));
    BOOST_TEST(!limiter.isCold(now));
}

// Guards against limits that are lower than declared because of rounding, and against a target without any flow.
BOOST_AUTO_TEST_CASE(boundsGiveWholeLimit)
{
    BOOST_TEST((ColdRateBounds {1.5, 5.0}.limitFor(2.0) == 8u));
    BOOST_TEST((ColdRateBounds {1.1, 0.0}.limitFor(10.0) == 11u));
    BOOST_TEST((ColdRateBounds {1.5, 0.9}.limitFor(2.0) == 3u));
    BOOST_TEST((ColdRateBounds {1.0, 0.0}.limitFor(0.1) == 1u));
    BOOST_TEST((ColdRateBounds {1.5, 5.0}.limitFor(0.0) == 0u));
    BOOST_TEST((ColdRateBounds {1.5, 5.0}.limitFor(1e300) == 4294967295u));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ColdTargetsTest, ColdTargetsFixture)

// Guards against a limit that each balancer applies on its own, so that the sum exceeds it.
BOOST_AUTO_TEST_CASE(coldTargetOfTwoBalancersGetsLimitInTotal)
{
    addTarget(11, 6000);
    addTarget(12, 0);
    simulation.run(1500);
    openFlows(4000);
    BOOST_TEST(agents[0]->target.mostOpeningsInSecond() == 3u);
    BOOST_TEST(agents[1]->target.openings.size() > 100u);
    BOOST_TEST(simulation.resets == 0);
    BOOST_TEST(agents[0]->agent->counters().returnedCold < 20u);
}

// Guards against a target that stays limited after its cold period.
BOOST_AUTO_TEST_CASE(coldTargetThatBecomesWarmGetsItsShare)
{
    addTarget(11, 3000);
    addTarget(12, 0);
    simulation.run(4500);
    openFlows(2000);
    BOOST_TEST(agents[0]->target.openings.size() > 50u);
}

// Guards against a second limit's worth of flows when the agent restarts and has lost the count.
BOOST_AUTO_TEST_CASE(coldTargetWithRestartedAgentGetsNoMoreThanLimit)
{
    addTarget(11, 9000);
    addTarget(12, 0);
    simulation.run(1500);
    // The agent restarts shortly before a status report, and shortly after its target got the limit.
    openFlows(300);
    BOOST_TEST(agents[0]->target.openings.size() == 3u);
    agents[0]->running = false;
    openFlows(100);
    simulation.startAgent(*agents[0]);
    openFlows(5000);
    BOOST_TEST(agents[0]->target.mostOpeningsInSecond() == 3u);
    BOOST_TEST(agents[0]->target.openings.size() > 8u);
}

// Guards against a limit of the operators that cold targets learn only at their next start.
BOOST_AUTO_TEST_CASE(coldTargetWithChangedTableGetsNewLimit)
{
    addTarget(11, 20000);
    addTarget(12, 0);
    simulation.run(1500);
    openFlows(3000);
    BOOST_TEST(agents[0]->target.mostOpeningsInSecond() == 3u);
    publish(2, 6.0);
    openFlows(3000);
    BOOST_TEST(agents[0]->target.mostOpeningsInSecond() == 6u);
    publish(3, 0.0);
    openFlows(3000);
    BOOST_TEST(agents[0]->target.mostOpeningsInSecond() > 20u);
}

// Guards against a retransmitted opening packet that is returned, or that takes the place of another flow.
BOOST_AUTO_TEST_CASE(coldTargetWithRetransmittedOpeningCountsItOnce)
{
    addTarget(11, 9000);
    simulation.run(1500);
    const RelayCaller first(1);
    for (int copy = 0; copy < 5; ++copy) {
        simulation.send(*balancers[0], first.opening());
        simulation.run(20);
    }
    for (std::uint16_t other = 2; other <= 5; ++other) {
        simulation.send(*balancers[1], RelayCaller(other).opening());
    }
    simulation.run(20);
    simulation.send(*balancers[0], first.opening());
    simulation.run(100);
    BOOST_TEST((agents[0]->target.flows == std::set<std::uint16_t> {1, 2, 3}));
    // Three opening packets, and five copies of the first one.
    BOOST_TEST(agents[0]->agent->counters().packetsIn == 8u);
    BOOST_TEST(simulation.resets == 2);
}

// Guards against an agent that writes a log line for each report that does not tell whether the target is cold.
BOOST_AUTO_TEST_CASE(agentWithReportsWithoutColdTimeLogsOneLine)
{
    RecordedOutput output;
    const PlainPacketFormat format;
    RelayAgent agent(
        {relayPeer("agent-1", PeerRole::Agent, 9), "desk", Milliseconds(1000), {}}, Timestamp(100000), format, output);
    TargetReport report;
    report.target = "desk-1";
    report.group = "desk";
    for (std::uint64_t sequence = 1; sequence <= 5; ++sequence) {
        report.sequence = sequence;
        agent.onTargetReport(Timestamp(100000), report);
    }
    BOOST_TEST(std::count(output.decisions.begin(), output.decisions.end(), "targetColdUnknown") == 1);
    BOOST_TEST(!agent.coldStart().isCold(Timestamp(100000)));
}

// Guards against flows that wait for their timeout when no target may take them.
BOOST_AUTO_TEST_CASE(coldTargetsAtLimitRefuseFurtherFlowsAtOnce)
{
    addTarget(11, 9000);
    addTarget(12, 9000);
    simulation.run(1500);
    openFlows(4000);
    simulation.run(100);
    for (const RelaySimulation::Vm *agent : agents) {
        BOOST_TEST(agent->target.mostOpeningsInSecond() == 3u);
        BOOST_TEST(agent->target.openings.size() >= 9u);
    }
    const std::size_t taken = agents[0]->target.openings.size() + agents[1]->target.openings.size();
    BOOST_TEST(simulation.resets == port - static_cast<int>(taken));
}

BOOST_AUTO_TEST_SUITE_END()
