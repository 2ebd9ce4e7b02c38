#define BOOST_TEST_MODULE RelayPath
#include "tests/relayworld.h"

#include <boost/test/unit_test.hpp>

using namespace rhubarblane;

namespace
{

struct RelayPathFixture {
    RelayPathFixture()
    {
        world.table = relayTable(7);
        agents = {&world.addAgent("agent-1", 11, "desk", "desk-1"), &world.addAgent("agent-2", 12, "desk", "desk-2")};
        balancers = {&world.addBalancer("balancer-1", 1), &world.addBalancer("balancer-2", 2)};
        world.run(2500);
        world.transcript.str({});
    }

    /** Opens a flow through a balancer and sends its first request. */
    void request(RelayWorld::Vm &balancer, std::uint16_t port)
    {
        world.send(balancer, RelayCaller(port).opening());
        world.run(30);
        world.send(balancer, RelayCaller(port).data(1));
        world.run(30);
    }

    void more(RelayWorld::Vm &balancer, std::uint16_t port, std::uint32_t sequence)
    {
        world.send(balancer, RelayCaller(port).data(sequence));
        world.run(30);
    }

    RelayWorld::Vm &ownerOf(std::uint16_t port)
    {
        for (RelayWorld::Vm *agent : agents) {
            if (agent->target.flows.count(port) > 0) {
                return *agent;
            }
        }
        BOOST_FAIL("no target holds the flow");
        return *agents.front();
    }

    /** Compares the transcript with a golden file. */
    void check(const std::string &name)
    {
        const std::string path = std::string(RHUBARBLANE_GOLDEN_DIR) + "/" + name;
        if (std::getenv("RHUBARBLANE_UPDATE_GOLDEN") != nullptr) {
            std::ofstream(path) << world.transcript.str();
        }
        std::ifstream file(path);
        const std::string expected {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
        BOOST_TEST(world.transcript.str() == expected);
    }

    RelayWorld world;
    std::vector<RelayWorld::Vm *> agents;
    std::vector<RelayWorld::Vm *> balancers;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RelayPathTest, RelayPathFixture)

// Guards against any break of the way from caller to target and back.
BOOST_AUTO_TEST_CASE(pathOnCalmDayMatchesTranscript)
{
    for (const std::uint16_t port : {4001, 4002, 4003, 4004}) {
        request(*balancers[port % 2], port);
    }
    for (const std::uint16_t port : {4001, 4002, 4003, 4004}) {
        more(*balancers[port % 2], port, 101);
    }
    BOOST_TEST(world.answers == 8);
    BOOST_TEST(world.resets == 0);
    check("relay-calm.txt");
}

// Guards against flows that break when the fabric takes a balancer out.
BOOST_AUTO_TEST_CASE(pathWithBalancerLostFindsOwnersAgain)
{
    for (const std::uint16_t port : {4001, 4002, 4003, 4004}) {
        request(*balancers[0], port);
    }
    balancers[0]->running = false;
    world.line() << "balancer-1 is lost\n";
    for (const std::uint16_t port : {4001, 4002, 4003, 4004}) {
        more(*balancers[1], port, 101);
    }
    BOOST_TEST(world.answers == 8);
    BOOST_TEST(world.resets == 0);
    check("relay-balancer-lost.txt");
}

// Guards against new flows at a leaving target while balancers and the store know nothing of it.
BOOST_AUTO_TEST_CASE(pathWithDrainAndStoreAwayKeepsFlowsAndPlacesNewOnesElsewhere)
{
    request(*balancers[0], 4001);
    RelayWorld::Vm &owner = ownerOf(4001);
    for (RelayWorld::Vm *vm : balancers) {
        vm->storeAway = true;
    }
    world.line() << owner.peer.name << " drains\n";
    owner.target.draining = true;
    world.run(1000);
    for (const std::uint16_t port : {4002, 4003, 4004}) {
        request(*balancers[1], port);
    }
    more(*balancers[0], 4001, 101);
    BOOST_TEST(owner.target.flows.size() == 1u);
    BOOST_TEST(world.answers == 5);
    BOOST_TEST(world.resets == 0);
    check("relay-drain.txt");
}

// Guards against the loss of flows when only the agent restarts.
BOOST_AUTO_TEST_CASE(pathWithAgentRestartedBesideLivingTargetKeepsFlow)
{
    request(*balancers[0], 4001);
    RelayWorld::Vm &owner = ownerOf(4001);
    owner.running = false;
    world.line() << owner.peer.name << " is killed\n";
    world.run(300);
    world.startAgent(owner);
    world.run(100);
    more(*balancers[0], 4001, 101);
    more(*balancers[1], 4001, 201);
    BOOST_TEST(world.answers == 3);
    BOOST_TEST(world.resets == 0);
    check("relay-agent-restarted.txt");
}

// Guards against packets of a service at an address that another service uses by now.
BOOST_AUTO_TEST_CASE(pathWithAddressUsedAgainReachesNoTargetOfOtherService)
{
    request(*balancers[0], 4001);
    RelayWorld::Vm &owner = ownerOf(4001);
    owner.running = false;
    owner.target = {"intake-1", "intake", world.now().milliseconds(), 0, true, false, false, {}, 0};
    owner.peer.name = "agent-9";
    world.line() << "the VM serves intake now\n";
    world.startAgent(owner);
    more(*balancers[0], 4001, 101);
    world.run(1500);
    more(*balancers[1], 4001, 101);
    for (const std::uint16_t port : {4002, 4003}) {
        request(*balancers[0], port);
    }
    BOOST_TEST(owner.target.requests == 0u);
    BOOST_TEST(owner.target.flows.empty());
    check("relay-address-reused.txt");
}

// Guards against a service that is away until the store returns, when a balancer starts without it.
BOOST_AUTO_TEST_CASE(pathWithBalancerStartedWithoutStoreServesFromPeers)
{
    balancers[1]->running = false;
    balancers[1]->storeAway = true;
    world.run(500);
    world.line() << "balancer-2 starts without the store\n";
    world.startBalancer(*balancers[1], {balancers[0]->peer.address});
    world.run(1500);
    BOOST_TEST(balancers[1]->balancer->isReady());
    request(*balancers[1], 4001);
    BOOST_TEST(world.answers == 1);
    check("relay-start-without-store.txt");
}

// Guards against a balancer that keeps an old table where the store turns it away.
BOOST_AUTO_TEST_CASE(pathWithTableChangeReachesBalancerWithoutStore)
{
    balancers[1]->storeAway = true;
    ServiceTable changed = relayTable(9);
    changed.services.clear();
    world.line() << "the operator drops the service\n";
    world.setTable(changed);
    world.run(1000);
    request(*balancers[1], 4001);
    BOOST_TEST(world.resets == 1);
    check("relay-table-change.txt");
}

// Guards against callers that wait out their deadline on flows that ended with their targets.
BOOST_AUTO_TEST_CASE(pathWithAllProcessesRestartedResetsOldFlowsAndServesNewOnes)
{
    request(*balancers[0], 4001);
    for (RelayWorld::Vm *agent : agents) {
        agent->running = false;
        agent->target.flows.clear();
        agent->target.id += "-again";
        agent->target.started = world.now().milliseconds();
        agent->target.sequence = 0;
    }
    for (RelayWorld::Vm *balancer : balancers) {
        balancer->running = false;
    }
    world.line() << "all VMs lose power\n";
    world.run(1200);
    for (RelayWorld::Vm *agent : agents) {
        world.startAgent(*agent);
    }
    for (RelayWorld::Vm *balancer : balancers) {
        world.startBalancer(*balancer);
    }
    world.run(1500);
    more(*balancers[0], 4001, 101);
    request(*balancers[0], 4002);
    BOOST_TEST(world.resets == 1);
    BOOST_TEST(world.answers == 2);
    check("relay-all-restarted.txt");
}

// Guards against a target that cuts off its requests at once, seems idle and therefore draws most new flows.
BOOST_AUTO_TEST_CASE(targetThatCutsOffItsRequestsGetsTrialsOnly)
{
    agents[0]->target.cutsOff = true;
    constexpr int Flows = 300;
    for (std::uint16_t port = 5000; port < 5000 + Flows; ++port) {
        world.send(*balancers[port % 2], RelayCaller(port).opening());
        world.run(10);
        world.send(*balancers[port % 2], RelayCaller(port).data(1));
        world.run(5);
    }
    world.run(50);
    BOOST_TEST(world.answers + world.resets == Flows);
    // Three until the ejection, some flows on their way, and trials after 0.5 s, 1.5 s and 3.5 s.
    BOOST_TEST(world.resets <= 9);

    agents[0]->target.cutsOff = false;
    world.run(4000);
    const std::uint64_t before = agents[0]->target.requests;
    for (std::uint16_t port = 6000; port < 6050; ++port) {
        request(*balancers[port % 2], port);
    }
    BOOST_TEST(agents[0]->target.requests - before >= 10u);
}

// Guards against a group without any target when a common cause makes all of them cut off requests.
BOOST_AUTO_TEST_CASE(groupWhoseTargetsAllCutOffRequestsIsOfferedNewFlows)
{
    for (RelayWorld::Vm *agent : agents) {
        agent->target.cutsOff = true;
    }
    for (std::uint16_t port = 5000; port < 5040; ++port) {
        request(*balancers[port % 2], port);
    }
    for (RelayWorld::Vm *agent : agents) {
        agent->target.cutsOff = false;
    }
    world.resets = 0;
    request(*balancers[0], 5100);
    BOOST_TEST(world.answers == 1);
    BOOST_TEST(world.resets == 0);
}

BOOST_AUTO_TEST_SUITE_END()
