#define BOOST_TEST_MODULE RelayFleet
#include "tests/relaysimulation.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <memory>

using namespace rhubarblane;

namespace
{

constexpr int Zones = 6;
constexpr Milliseconds Tick(20);

Peer process(PeerRole role, int number)
{
    const bool agent = role == PeerRole::Agent;
    return {(agent ? "agent-" : "balancer-") + std::to_string(number),
            role,
            "zone-" + std::to_string(number % Zones),
            {(agent ? 0x0b000000U : 0x0a000000U) + static_cast<std::uint32_t>(number), 7720},
            1000};
}

/** Balancers of one fleet in virtual time. Messages arrive with the next tick, except those that `loses` selects. */
struct RelayFleetFixture {
    struct Member {
        RecordedOutput output;
        std::unique_ptr<RelayBalancer> balancer;
        std::size_t hellos = 0;
    };

    void startBalancers(int count)
    {
        std::vector<Peer> all;
        for (int number = 1; number <= count; ++number) {
            all.push_back(process(PeerRole::Balancer, number));
        }
        for (const Peer &self : all) {
            RelayBalancerSettings settings;
            settings.self = self;
            Member &member = members[self.address];
            member.balancer = std::make_unique<RelayBalancer>(settings, now, format, member.output);
            member.balancer->onStorePeers(now, all);
        }
    }

    void run(Milliseconds span)
    {
        const Timestamp end = now + span;
        while (now < end) {
            std::vector<std::tuple<PeerAddress, PeerAddress, wire::relay::Message>> sent;
            for (auto &[address, member] : members) {
                for (auto &[to, message] : std::exchange(member.output.toPeers, {})) {
                    member.hellos += message.has_hello() ? 1 : 0;
                    if (!loses || !loses(to)) {
                        sent.emplace_back(address, to, std::move(message));
                    }
                }
                member.output.decisions.clear();
            }
            now = now + Tick;
            for (const auto &[from, to, message] : sent) {
                const auto receiver = members.find(to);
                if (receiver != members.end()) {
                    receiver->second.balancer->onPeerMessage(now, from, message);
                }
            }
            for (auto &[address, member] : members) {
                member.balancer->onTick(now);
            }
        }
    }

    /** Returns the hello messages per second of the balancer that sends most. */
    double hellosPerSecond()
    {
        constexpr std::int64_t MeasuredSeconds = 3;
        for (auto &[address, member] : members) {
            member.hellos = 0;
        }
        run(Milliseconds(MeasuredSeconds * 1000));
        std::size_t most = 0;
        for (const auto &[address, member] : members) {
            most = std::max(most, member.hellos);
        }
        return static_cast<double>(most) / MeasuredSeconds;
    }

    int withTable(std::uint64_t version) const
    {
        return static_cast<int>(std::count_if(members.begin(), members.end(), [version](const auto &entry) {
            const ServiceTable *table = entry.second.balancer->table();
            return table != nullptr && table->version == TableVersion(version);
        }));
    }

    void publish(std::uint64_t version)
    {
        ServiceTable table;
        table.version = TableVersion(version);
        members.begin()->second.balancer->onTable(now, table, "store");
    }

    Timestamp now {100000};
    PlainPacketFormat format;
    std::map<PeerAddress, Member> members;
    std::function<bool(const PeerAddress &)> loses;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RelayFleetTest, RelayFleetFixture)

// Guards against hello messages whose number per balancer grows with the fleet, up to 300 balancers.
BOOST_AUTO_TEST_CASE(fleetOfAnySizeSendsBoundedHellosPerBalancer)
{
    constexpr double MostHellosPerSecond = 100;
    startBalancers(60);
    run(Milliseconds(2000));
    BOOST_TEST(hellosPerSecond() <= 40);
    members.clear();
    startBalancers(300);
    run(Milliseconds(2000));
    BOOST_TEST(hellosPerSecond() <= MostHellosPerSecond);
}

// Guards against a table version that a part of a large fleet learns late, when one balancer alone reads it.
BOOST_AUTO_TEST_CASE(fleetWithOneReaderHasNewTableWithinTwoSeconds)
{
    startBalancers(300);
    run(Milliseconds(3000));
    publish(7);
    run(Milliseconds(2000));
    BOOST_TEST(withTable(7) == 300);
    // The same with a tenth of all messages lost.
    std::mt19937_64 random(3);
    loses = [&random](const PeerAddress &) { return random() % 10 == 0; };
    publish(8);
    run(Milliseconds(2000));
    BOOST_TEST(withTable(8) == 300);
}

// Guards against balancers that count living ones as inactive, or forget them, because messages come less often.
BOOST_AUTO_TEST_CASE(fleetWithoutStoreKeepsAllBalancersActive)
{
    startBalancers(90);
    for (int second = 0; second < 24; ++second) {
        run(Milliseconds(1000));
        if (second < 4) {
            continue;
        }
        const bool allActive = std::all_of(members.begin(), members.end(), [](const auto &entry) {
            return entry.second.balancer->activeBalancers() == 89;
        });
        BOOST_TEST(allActive, "after " << second << " s");
    }
    BOOST_TEST(members.begin()->second.balancer->peers().withRole(PeerRole::Balancer).size() == 89u);
}

BOOST_AUTO_TEST_SUITE_END()
