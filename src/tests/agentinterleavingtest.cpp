#define BOOST_TEST_MODULE AgentInterleaving
#include "tests/agentharness.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <set>

using namespace rhubarblane;

namespace
{

constexpr std::size_t Depth = 6;
constexpr std::size_t RandomDepth = 60;
constexpr std::size_t MaximumPaths = 5000;
constexpr std::size_t RandomPaths = 4000;
// Number of pending messages that may overtake each other at one step.
constexpr std::size_t Window = 3;

/**
 * Enumerates orders of events, each replayed from the start: first all orders up to a depth, then random ones that go
 * deeper.
 */
class Explorer
{
public:
    /** Returns the next choice among `options`; 0 beyond the depth. */
    std::size_t choose(std::size_t options)
    {
        if (isBeyondDepth() || options <= 1) {
            return 0;
        }
        if (isRandom_) {
            ++position_;
            return random_() % options;
        }
        if (position_ == path_.size()) {
            path_.push_back({0, options});
        }
        return path_[position_++].first;
    }

    bool isBeyondDepth() const
    {
        return position_ >= (isRandom_ ? RandomDepth : Depth);
    }

    /** Moves to the next path. Returns false if there is none. */
    bool next()
    {
        position_ = 0;
        ++paths_;
        isRandom_ = isRandom_ || paths_ >= MaximumPaths;
        if (isRandom_) {
            return ++randomPaths_ <= RandomPaths;
        }
        while (!path_.empty() && path_.back().first + 1 >= path_.back().second) {
            path_.pop_back();
        }
        if (path_.empty()) {
            isRandom_ = true;
            return true;
        }
        ++path_.back().first;
        return true;
    }

private:
    std::vector<std::pair<std::size_t, std::size_t>> path_;
    std::size_t position_ = 0;
    std::size_t paths_ = 0;
    std::size_t randomPaths_ = 0;
    bool isRandom_ = false;
    std::mt19937_64 random_ {20240918};
};

struct InterleavingFixture {
    std::size_t paths = 0;
    std::size_t ran = 0;
    std::size_t refused = 0;

    static bool isAboutFlow(const wire::Envelope &message)
    {
        return !message.has_heartbeat() && !message.has_announce_ack();
    }

    /**
     * Delivers messages in the order that the explorer chooses, then delivers the rest in order. At most one message is
     * dropped, one is duplicated, and one pause of 300 ms is inserted.
     */
    static void explore(AgentHarness &net, Explorer &explorer)
    {
        std::size_t losses = 1;
        std::size_t copies = 1;
        std::size_t waits = 1;
        while (!net.network.empty() && !explorer.isBeyondDepth()) {
            std::vector<decltype(net.network)::iterator> pending;
            bool hasHeartbeat = false;
            for (auto item = net.network.begin(); item != net.network.end() && pending.size() < Window; ++item) {
                // Group messages keep their order among themselves, but may overtake flow messages and be overtaken by
                // them.
                const bool isHeartbeat = !isAboutFlow(item->second.message);
                if (!isHeartbeat || !hasHeartbeat) {
                    pending.push_back(item);
                }
                hasHeartbeat = hasHeartbeat || isHeartbeat;
            }
            const std::size_t count = pending.size();
            const std::size_t choice = explorer.choose(count + losses + copies + waits);
            if (choice >= count + losses + copies) {
                --waits;
                net.run(300);
                continue;
            }
            const auto item = choice < count ? pending[choice] : pending.front();
            const AgentHarness::Datagram datagram = item->second;
            if (choice < count + losses && choice >= count) {
                --losses;
                net.network.erase(item);
                continue;
            }
            if (choice >= count + losses) {
                --copies;
            } else {
                net.network.erase(item);
            }
            net.agents[datagram.to]->handleMessage(
                Timestamp(net.now), AgentHarness::addressOf(datagram.from), datagram.message);
            net.collect(datagram.to);
        }
        net.run(6000);
    }

    static void send(AgentHarness &net, std::size_t to, std::uint16_t port, const std::string &payload)
    {
        net.sendTo(to, AgentHarness::flow(port), buildUdpRequest(AgentHarness::flow(port), payload));
    }

    void check(const AgentHarness &net)
    {
        std::map<std::uint16_t, std::size_t> owners;
        std::set<std::pair<std::uint16_t, std::string>> seen;
        for (const AgentHarness::Delivery &delivery : net.deliveries) {
            const auto owner = owners.emplace(delivery.flow.callerPort, delivery.agent).first;
            BOOST_REQUIRE_MESSAGE(owner->second == delivery.agent, "a flow has two owners, path " << paths);
            const bool isFirst = seen.emplace(delivery.flow.callerPort, delivery.packet).second;
            // "first" is the payload of opening packets, and "x" that of a packet of another service.
            BOOST_REQUIRE_MESSAGE(isFirst || delivery.packet.back() != 't', "a request ran twice, path " << paths);
            BOOST_REQUIRE_MESSAGE(delivery.packet.back() != 'x', "a packet of another service arrived");
        }
        for (const std::string &packet : net.toCallers) {
            if (packet[9] == 1 && packet[21] == 13) {
                const auto quoted = std::get<PacketInfo>(parsePacket(std::string_view(packet).substr(28)));
                const std::size_t count = owners.count(quoted.flow.callerPort);
                BOOST_REQUIRE_MESSAGE(count == 0, "a refused flow ran, path " << paths);
                ++refused;
            }
        }
        ran += owners.size();
    }

    template<typename Scenario>
    void runAll(Scenario scenario)
    {
        Explorer explorer;
        do {
            AgentHarness net;
            scenario(net);
            explore(net, explorer);
            check(net);
            ++paths;
        } while (explorer.next());
        BOOST_TEST_MESSAGE(paths << " paths, " << ran << " flows ran, " << refused << " refusals");
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AgentInterleavingTest, InterleavingFixture)

// Guards against two homes, one with the old and one with the new roster, both placing a flow.
BOOST_AUTO_TEST_CASE(openingPacketsSentByTwoViewsDuringJoinRunOnce)
{
    runAll([](AgentHarness &net) {
        net.startUnequalGroup(2);
        const std::size_t joined = net.add("target-2");
        while (net.agent(joined).self().state() != wire::SERVING) {
            net.run(1);
        }
        const TargetId joinedId(net.agent(joined).self().target());
        std::uint16_t port = 2000;
        while (net.homeOf(AgentHarness::flow(port)) != 0
               || !net.agent(0).roster().wouldBeHome(flowHashOf(AgentHarness::flow(port)), joinedId)) {
            ++port;
        }
        const FlowTuple tuple = AgentHarness::flow(port);
        send(net, 0, tuple.callerPort, "first");
        send(net, joined, tuple.callerPort, "first");
        send(net, 1, tuple.callerPort, "more");
    });
    BOOST_TEST(ran > 0u);
}

// Guards against a second owner of a flow whose home changes by a drain while the old home is placing it.
BOOST_AUTO_TEST_CASE(openingPacketsSentByTwoViewsDuringDrainRunOnce)
{
    runAll([](AgentHarness &net) {
        net.startUnequalGroup(3);
        const FlowTuple tuple = net.flowWithHome(0);
        send(net, 0, tuple.callerPort, "first");
        net.run(1);
        net.agent(0).beginDrain(Timestamp(net.now), Timestamp(net.now + 60000));
        net.collect(0);
        send(net, 1, tuple.callerPort, "first");
        send(net, 2, tuple.callerPort, "first");
    });
    BOOST_TEST(ran > 0u);
}

// Guards against a late or duplicated Place message starting a refused flow, and against delivery of packets of another
// service.
BOOST_AUTO_TEST_CASE(flowsAtFullTargetsAreEitherRunOnceOrRefused)
{
    runAll([](AgentHarness &net) {
        for (const char *name : {"target-0", "target-1"}) {
            AgentSettings settings = net.settingsFor(name, 1);
            settings.slots = 1;
            settings.queueLimit = 0;
            net.add(settings);
        }
        net.run(90);
        for (std::uint16_t port = 2000; net.agent(0).flows().size() + net.agent(1).flows().size() < 1; ++port) {
            send(net, 0, port, "filler");
            net.run(5);
        }
        send(net, 0, 3000, "first");
        send(net, 1, 3001, "first");
        send(net, 1, 3000, "first");
        wire::Envelope foreign = net.network.rbegin()->second.message;
        foreign.mutable_forward()->set_service(TestService + 1);
        foreign.mutable_forward()->set_packet(buildUdpRequest(AgentHarness::flow(3000), "x"));
        net.post(2, 0, std::move(foreign));
    });
    BOOST_TEST(ran > 0u);
    BOOST_TEST(refused > 0u);
}

BOOST_AUTO_TEST_SUITE_END()
