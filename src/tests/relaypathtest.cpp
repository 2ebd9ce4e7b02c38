#define BOOST_TEST_MODULE RelayPath
#include "tests/relaysimulation.h"

#include <boost/test/unit_test.hpp>

using namespace rhubarblane;

namespace
{

struct RelayPathFixture {
    RelayPathFixture()
    {
        simulation.table = relayTable(7);
        agents = {&simulation.addAgent("agent-1", 11, "desk", "desk-1"),
                  &simulation.addAgent("agent-2", 12, "desk", "desk-2")};
        balancers = {&simulation.addBalancer("balancer-1", 1), &simulation.addBalancer("balancer-2", 2)};
        simulation.run(2500);
        simulation.transcript.str({});
    }

    /** Opens a flow through a balancer and sends its first request. */
    void openWithRequest(RelaySimulation::Vm &balancer, std::uint16_t port)
    {
        simulation.send(balancer, RelayCaller(port).opening());
        simulation.run(30);
        simulation.send(balancer, RelayCaller(port).data(1));
        simulation.run(30);
    }

    void sendRequest(RelaySimulation::Vm &balancer, std::uint16_t port, std::uint32_t sequence)
    {
        simulation.send(balancer, RelayCaller(port).data(sequence));
        simulation.run(30);
    }

    RelaySimulation::Vm &ownerOf(std::uint16_t port)
    {
        for (RelaySimulation::Vm *agent : agents) {
            if (agent->target.flows.count(port) > 0) {
                return *agent;
            }
        }
        BOOST_FAIL("no target holds the flow");
        return *agents.front();
    }

    /** Compares the transcript with a golden file. */
    void compareWithGolden(const std::string &name)
    {
        const std::string path = std::string(RHUBARBLANE_GOLDEN_DIR) + "/" + name;
        if (std::getenv("RHUBARBLANE_UPDATE_GOLDEN") != nullptr) {
            std::ofstream(path) << simulation.transcript.str();
        }
        std::ifstream file(path);
        const std::string expected {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
        BOOST_TEST(simulation.transcript.str() == expected);
    }

    RelaySimulation simulation;
    std::vector<RelaySimulation::Vm *> agents;
    std::vector<RelaySimulation::Vm *> balancers;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RelayPathTest, RelayPathFixture)

// Guards against any failure on the path from caller to target and back while all processes run.
BOOST_AUTO_TEST_CASE(pathWithoutFaultsMatchesTranscript)
{
    for (const std::uint16_t port : {4001, 4002, 4003, 4004}) {
        openWithRequest(*balancers[port % 2], port);
    }
    for (const std::uint16_t port : {4001, 4002, 4003, 4004}) {
        sendRequest(*balancers[port % 2], port, 101);
    }
    BOOST_TEST(simulation.answers == 8);
    BOOST_TEST(simulation.resets == 0);
    compareWithGolden("relay-no-faults.txt");
}

// Guards against flows that break when the fabric removes a balancer.
BOOST_AUTO_TEST_CASE(pathWithBalancerLostFindsOwnersAgain)
{
    for (const std::uint16_t port : {4001, 4002, 4003, 4004}) {
        openWithRequest(*balancers[0], port);
    }
    balancers[0]->running = false;
    simulation.line() << "balancer-1 is lost\n";
    for (const std::uint16_t port : {4001, 4002, 4003, 4004}) {
        sendRequest(*balancers[1], port, 101);
    }
    BOOST_TEST(simulation.answers == 8);
    BOOST_TEST(simulation.resets == 0);
    compareWithGolden("relay-balancer-lost.txt");
}

// Guards against new flows at a draining target while balancers cannot reach the store.
BOOST_AUTO_TEST_CASE(pathWithDrainAndUnreachableStoreKeepsFlowsAndPlacesNewOnesElsewhere)
{
    openWithRequest(*balancers[0], 4001);
    RelaySimulation::Vm &owner = ownerOf(4001);
    for (RelaySimulation::Vm *vm : balancers) {
        vm->storeUnreachable = true;
    }
    simulation.line() << owner.peer.name << " drains\n";
    owner.target.draining = true;
    simulation.run(1000);
    for (const std::uint16_t port : {4002, 4003, 4004}) {
        openWithRequest(*balancers[1], port);
    }
    sendRequest(*balancers[0], 4001, 101);
    BOOST_TEST(owner.target.flows.size() == 1u);
    BOOST_TEST(simulation.answers == 5);
    BOOST_TEST(simulation.resets == 0);
    compareWithGolden("relay-drain.txt");
}

// Guards against the loss of flows when only the agent restarts.
BOOST_AUTO_TEST_CASE(pathWithAgentRestartedWhileTargetRunsKeepsFlow)
{
    openWithRequest(*balancers[0], 4001);
    RelaySimulation::Vm &owner = ownerOf(4001);
    owner.running = false;
    simulation.line() << owner.peer.name << " is killed\n";
    simulation.run(300);
    simulation.startAgent(owner);
    simulation.run(100);
    sendRequest(*balancers[0], 4001, 101);
    sendRequest(*balancers[1], 4001, 201);
    BOOST_TEST(simulation.answers == 3);
    BOOST_TEST(simulation.resets == 0);
    compareWithGolden("relay-agent-restarted.txt");
}

// Guards against packets for a service that reach a target of another service at a reused address.
BOOST_AUTO_TEST_CASE(pathWithReusedAddressReachesNoTargetOfOtherService)
{
    openWithRequest(*balancers[0], 4001);
    RelaySimulation::Vm &owner = ownerOf(4001);
    owner.running = false;
    owner.target = {"intake-1", "intake", simulation.now().milliseconds(), 0, true, false, false, {}, 0};
    owner.peer.name = "agent-9";
    simulation.line() << "the VM serves intake now\n";
    simulation.startAgent(owner);
    sendRequest(*balancers[0], 4001, 101);
    simulation.run(1500);
    sendRequest(*balancers[1], 4001, 101);
    for (const std::uint16_t port : {4002, 4003}) {
        openWithRequest(*balancers[0], port);
    }
    BOOST_TEST(owner.target.requests == 0u);
    BOOST_TEST(owner.target.flows.empty());
    compareWithGolden("relay-address-reused.txt");
}

// Guards against a new flow on a port that its caller uses again, which reaches a target of another service at the
// address of the earlier flow's target (review/1).
BOOST_AUTO_TEST_CASE(pathWithReusedAddressAndPortReachesNoTargetOfOtherService)
{
    openWithRequest(*balancers[0], 4001);
    RelaySimulation::Vm &owner = ownerOf(4001);
    owner.running = false;
    owner.target = {"intake-1", "intake", simulation.now().milliseconds(), 0, true, false, false, {}, 0};
    owner.peer.name = "agent-9";
    simulation.startAgent(owner);
    simulation.run(3000);
    // The first balancer has a record of the earlier flow with its opening packet, the second one has found the flow.
    for (RelaySimulation::Vm *balancer : balancers) {
        simulation.send(*balancer, RelayCaller(4001).opening(77));
        simulation.run(100);
        simulation.send(*balancer, RelayCaller(4001).data(77));
        simulation.run(100);
    }
    BOOST_TEST(owner.target.requests == 0u);
    BOOST_TEST(owner.target.flows.empty());
    BOOST_TEST(simulation.answers == 3);
}

// Guards against a balancer that started without the store and cannot serve until the store returns.
BOOST_AUTO_TEST_CASE(pathWithBalancerStartedWithoutStoreServesFromPeers)
{
    balancers[1]->running = false;
    balancers[1]->storeUnreachable = true;
    simulation.run(500);
    simulation.line() << "balancer-2 starts without the store\n";
    simulation.startBalancer(*balancers[1], {balancers[0]->peer.address});
    simulation.run(1500);
    BOOST_TEST(balancers[1]->balancer->isReady());
    openWithRequest(*balancers[1], 4001);
    BOOST_TEST(simulation.answers == 1);
    compareWithGolden("relay-start-without-store.txt");
}

// Guards against a balancer without access to the store that keeps an outdated table.
BOOST_AUTO_TEST_CASE(pathWithTableChangeReachesBalancerWithoutStore)
{
    balancers[1]->storeUnreachable = true;
    ServiceTable changed = relayTable(9);
    changed.services.clear();
    simulation.line() << "the operator drops the service\n";
    simulation.setTable(changed);
    simulation.run(1000);
    openWithRequest(*balancers[1], 4001);
    BOOST_TEST(simulation.resets == 1);
    compareWithGolden("relay-table-change.txt");
}

// Guards against callers that wait until their timeout on flows that ended with their targets.
BOOST_AUTO_TEST_CASE(pathWithAllProcessesRestartedResetsOldFlowsAndServesNewOnes)
{
    openWithRequest(*balancers[0], 4001);
    for (RelaySimulation::Vm *agent : agents) {
        agent->running = false;
        agent->target.flows.clear();
        agent->target.id += "-again";
        agent->target.started = simulation.now().milliseconds();
        agent->target.sequence = 0;
    }
    for (RelaySimulation::Vm *balancer : balancers) {
        balancer->running = false;
    }
    simulation.line() << "all VMs lose power\n";
    simulation.run(1200);
    for (RelaySimulation::Vm *agent : agents) {
        simulation.startAgent(*agent);
    }
    for (RelaySimulation::Vm *balancer : balancers) {
        simulation.startBalancer(*balancer);
    }
    simulation.run(1500);
    sendRequest(*balancers[0], 4001, 101);
    openWithRequest(*balancers[0], 4002);
    BOOST_TEST(simulation.resets == 1);
    BOOST_TEST(simulation.answers == 2);
    compareWithGolden("relay-all-restarted.txt");
}

// Guards against a target that resets its requests immediately, seems idle and therefore attracts most new flows.
BOOST_AUTO_TEST_CASE(targetThatResetsItsRequestsGetsTrialsOnly)
{
    agents[0]->target.resetsRequests = true;
    constexpr int Flows = 300;
    for (std::uint16_t port = 5000; port < 5000 + Flows; ++port) {
        simulation.send(*balancers[port % 2], RelayCaller(port).opening());
        simulation.run(10);
        simulation.send(*balancers[port % 2], RelayCaller(port).data(1));
        simulation.run(5);
    }
    simulation.run(50);
    BOOST_TEST(simulation.answers + simulation.resets == Flows);
    // Three resets until the ejection, some for flows in flight, and trials after 0.5 s, 1.5 s and 3.5 s.
    BOOST_TEST(simulation.resets <= 9);

    agents[0]->target.resetsRequests = false;
    simulation.run(4000);
    const std::uint64_t before = agents[0]->target.requests;
    for (std::uint16_t port = 6000; port < 6050; ++port) {
        openWithRequest(*balancers[port % 2], port);
    }
    BOOST_TEST(agents[0]->target.requests - before >= 10u);
}

// Guards against a group without usable targets when a common cause makes all of them reset requests.
BOOST_AUTO_TEST_CASE(groupWhoseTargetsAllResetRequestsIsOfferedNewFlows)
{
    for (RelaySimulation::Vm *agent : agents) {
        agent->target.resetsRequests = true;
    }
    for (std::uint16_t port = 5000; port < 5040; ++port) {
        openWithRequest(*balancers[port % 2], port);
    }
    for (RelaySimulation::Vm *agent : agents) {
        agent->target.resetsRequests = false;
    }
    simulation.resets = 0;
    openWithRequest(*balancers[0], 5100);
    BOOST_TEST(simulation.answers == 1);
    BOOST_TEST(simulation.resets == 0);
}

BOOST_AUTO_TEST_SUITE_END()
