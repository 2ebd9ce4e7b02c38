#define BOOST_TEST_MODULE AgentPeers
#include "tests/relaysimulation.h"

#include <boost/test/unit_test.hpp>

using namespace rhubarblane;

namespace
{

constexpr int Zones = 6;
constexpr Milliseconds Tick(20);

struct AgentPeersFixture {
    static Peer process(PeerRole role, int number)
    {
        return {(role == PeerRole::Agent ? "agent-" : "balancer-") + std::to_string(number),
                role,
                "zone-" + std::to_string(number % Zones),
                {(role == PeerRole::Agent ? 0x0b000000U : 0x0a000000U) + static_cast<std::uint32_t>(number), 7720},
                1000};
    }

    Timestamp now {100000};
    PlainPacketFormat format;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AgentPeersTest, AgentPeersFixture)

// Guards against an agent that sends its load to a large fleet so often that the links between availability zones fill,
// and against balancers that stop using it between two reports.
BOOST_AUTO_TEST_CASE(agentOfLargeFleetReportsToOtherZonesLessOftenAndStaysUsable)
{
    constexpr int Balancers = 90;
    RecordedOutput output;
    RelayAgentSettings settings;
    settings.self = process(PeerRole::Agent, 1);
    settings.group = "desk";
    RelayAgent agent(settings, now, format, output);
    std::vector<Peer> balancers;
    for (int number = 1; number <= Balancers; ++number) {
        balancers.push_back(process(PeerRole::Balancer, number));
    }
    agent.onStorePeers(now, balancers);
    agent.onTargetReport(now, {"i-1", "desk", 2, 1, 1000, false});
    agent.onTick(now);
    output.toPeers.clear();
    std::map<PeerAddress, int> reports;
    TargetDirectory ownZone(settings.self.availabilityZone);
    TargetDirectory otherZone("zone-3");
    const PeerAddress own = balancers[0].address;
    const PeerAddress other = balancers[2].address;
    constexpr std::int64_t Seconds = 20;
    for (std::int64_t step = 0; step < Seconds * 1000 / Tick.count(); ++step) {
        now = now + Tick;
        if (step % 50 == 0) {
            agent.onTargetReport(now, {"i-1", "desk", 2, static_cast<std::uint64_t>(2 + step), 1000, false});
            agent.onStorePeers(now, balancers);
        }
        agent.onTick(now);
        for (const auto &[to, message] : std::exchange(output.toPeers, {})) {
            ++reports[to];
            if (to == own) {
                ownZone.report(now, settings.self, message.report());
            } else if (to == other) {
                otherZone.report(now, settings.self, message.report());
            }
        }
        for (const TargetDirectory *directory : {&ownZone, &otherZone}) {
            const KnownTarget *target = directory->find(settings.self.address);
            BOOST_TEST((target == nullptr || TargetDirectory::isUsable(now, *target)));
        }
    }
    BOOST_TEST(reports[own] >= Seconds - 1);
    BOOST_TEST(reports[other] >= Seconds / 2 - 1);
    std::int64_t sent = 0;
    for (const auto &[to, count] : reports) {
        sent += count;
    }
    // The own availability zone has a sixth of the balancers.
    BOOST_TEST(sent <= Seconds * Balancers / Zones + Seconds / 2 * Balancers * (Zones - 1) / Zones);
}

BOOST_AUTO_TEST_SUITE_END()
