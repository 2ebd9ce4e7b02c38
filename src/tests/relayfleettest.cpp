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
constexpr Milliseconds StoreCallTime(40);

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
        std::optional<Timestamp> checkBegun;
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
            member.balancer->onStorePeers(now, all, LeaseHistory::Kept);
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
                checkTable(member);
            }
        }
    }

    /** Makes the due check of a member, whose store call takes StoreCallTime. */
    void checkTable(Member &member)
    {
        if (member.balancer->takeTableCheck(now)) {
            ++checks;
            member.checkBegun = now;
        }
        if (member.checkBegun && now - *member.checkBegun >= StoreCallTime) {
            if (storeTable) {
                member.balancer->onTable(now, *storeTable, "store");
            }
            member.balancer->onTableCheck(now, *std::exchange(member.checkBegun, std::nullopt), storeTable.has_value());
        }
    }

    /** Writes a table to the store. No watch returns it, as if all connections had gone silent. */
    void writeSilently(std::uint64_t version)
    {
        storeTable = ServiceTable();
        storeTable->version = TableVersion(version);
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
    /** The table in the store; no value while the store is down. */
    std::optional<ServiceTable> storeTable;
    int checks = 0;
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

// Guards against a table that comes into force late because the watches of all balancers wait on silent connections
// (review/2). A change must be in force 3 s after its acknowledgement, at any size of the fleet and any time.
BOOST_AUTO_TEST_CASE(fleetWithSilentWatchesHasNewTableWithinThreeSeconds)
{
    for (const int size : {1, 2, 4, 8, 12, 18, 60, 120}) {
        members.clear();
        storeTable.reset();
        writeSilently(1);
        startBalancers(size);
        publish(1);
        run(Milliseconds(6000));
        std::mt19937_64 random(5);
        loses = [&random](const PeerAddress &) { return random() % 20 == 0; };
        checks = 0;
        const Timestamp begun = now;
        const int changes = size < 50 ? 12 : 3;
        for (int change = 2; change < 2 + changes; ++change) {
            writeSilently(static_cast<std::uint64_t>(change));
            run(Milliseconds(3000));
            BOOST_TEST(withTable(static_cast<std::uint64_t>(change)) == size, "version " << change << ", " << size);
            run(Milliseconds(static_cast<std::int64_t>(random() % 1000)));
        }
        // One percent of the 2,000 reads per second that the store of a small deployment allows.
        constexpr double MostChecksPerSecond = 20.0;
        const double perSecond = 1000.0 * checks / static_cast<double>((now - begun).count());
        BOOST_TEST(perSecond <= MostChecksPerSecond, perSecond << " checks/s of " << size);
        loses = nullptr;
    }
}

// Guards against a balancer that relies on checks which another one cannot make.
BOOST_AUTO_TEST_CASE(fleetWithStoreThatReturnsHasNewTableWithinThreeSeconds)
{
    startBalancers(12);
    publish(1);
    run(Milliseconds(20000));
    writeSilently(2);
    run(Milliseconds(3000));
    BOOST_TEST(withTable(2) == 12);
}

BOOST_AUTO_TEST_SUITE_END()
