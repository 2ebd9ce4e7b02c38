#define BOOST_TEST_MODULE Membership
#include "membership/measure/fleet.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace rhubarblane;

namespace
{

struct MembershipFixture {
    std::ostringstream transcript;

    static FleetSettings settings(std::size_t balancers)
    {
        FleetSettings result;
        result.balancers = balancers;
        result.randomSeed = 21;
        result.availabilityZonesPerRegion = 2;
        return result;
    }

    static std::string describe(const wire::EntryVersion &version)
    {
        return std::to_string(version.incarnation() % 1000) + "." + std::to_string(version.sequence()) + "."
            + wire::MemberState_Name(version.state());
    }

    void record(Fleet &fleet)
    {
        fleet.setObserver([this, &fleet](std::size_t from, std::size_t to, const wire::Gossip &message) {
            transcript << fleet.now().milliseconds() << ' ' << from << "->" << to << ' '
                       << wire::Gossip::Kind_Name(message.kind()) << " probe=" << message.probe()
                       << " sequence=" << message.sequence() << " revision=" << message.configuration_revision();
            for (const wire::BalancerEntry &entry : message.balancers()) {
                transcript << " entry=" << entry.name() << ':' << wire::MemberState_Name(entry.state());
            }
            for (const wire::EntryVersion &change : message.balancer_changes()) {
                transcript << " change=" << describe(change);
            }
            for (const wire::TargetEntry &entry : message.targets()) {
                transcript << " target=" << entry.name() << ':' << wire::MemberState_Name(entry.state());
            }
            for (const wire::EntryVersion &change : message.target_changes()) {
                transcript << " targetChange=" << describe(change);
            }
            transcript << (message.has_self() ? " self" : "") << (message.has_subject() ? " subject" : "")
                       << (message.unreachable() ? " unreachable" : "")
                       << (message.unknown_receiver() ? " unknown" : "")
                       << (message.in_force_report() ? " report" : "");
            if (message.digests_size() + message.versions_size() + message.in_force_size() > 0) {
                transcript << " digests=" << message.digests_size() << " versions=" << message.versions_size()
                           << " inForce=" << message.in_force_size();
            }
            transcript << '\n';
        });
    }

    /** Compares with the golden file, or writes it when RHUBARBLANE_WRITE_GOLDEN is set. */
    void compare(const std::string &file) const
    {
        const std::string path = std::string(RHUBARBLANE_GOLDEN_DIR) + "/" + file;
        if (std::getenv("RHUBARBLANE_WRITE_GOLDEN") != nullptr) {
            std::ofstream(path) << transcript.str();
        }
        std::ifstream in(path);
        BOOST_REQUIRE_MESSAGE(in.good(), "cannot read " + path);
        std::ostringstream expected;
        expected << in.rdbuf();
        std::istringstream expectedLines(expected.str());
        std::istringstream actualLines(transcript.str());
        std::string expectedLine;
        std::string actualLine;
        for (int number = 1; std::getline(expectedLines, expectedLine); ++number) {
            std::getline(actualLines, actualLine);
            BOOST_REQUIRE_MESSAGE(expectedLine == actualLine,
                                  file << ":" << number << ": expected '" << expectedLine << "', got '" << actualLine
                                       << "'");
        }
        BOOST_TEST(expected.str() == transcript.str());
    }

    static wire::TargetEntry target(std::uint64_t sequence, wire::MemberState state)
    {
        wire::TargetEntry result;
        result.set_target(targetIdOf("logger-1").value());
        result.set_name("logger-1");
        result.set_incarnation(5);
        result.set_sequence(sequence);
        result.set_state(state);
        return result;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MembershipTest, MembershipFixture)

// Guards against unintended changes of the protocol in a planned session of three balancers: join, announcement, drain,
// configuration and leave.
BOOST_AUTO_TEST_CASE(sessionWithPlannedChangesMatchesTranscript)
{
    Fleet fleet(settings(3));
    record(fleet);
    fleet.run(Milliseconds(4000));
    fleet.core(0).setTarget(target(1, wire::SERVING));
    fleet.run(Milliseconds(2000));
    fleet.core(0).setTarget(target(2, wire::DRAINING));
    fleet.core(1).setConfiguration(Revision(12), 120);
    fleet.run(Milliseconds(2000));
    fleet.core(2).leave(fleet.now());
    fleet.run(Milliseconds(1000));
    fleet.kill(2);
    fleet.run(Milliseconds(1000));
    BOOST_TEST(fleet.divergentViews() == 0u);
    compare("membership-planned.txt");
}

// Guards against unintended changes of the protocol in a session with failures: a crash, its detection through helpers,
// restart, pause and loss.
BOOST_AUTO_TEST_CASE(sessionWithFailuresMatchesTranscript)
{
    FleetSettings lossy = settings(4);
    lossy.loss = 0.02;
    Fleet fleet(lossy);
    record(fleet);
    fleet.run(Milliseconds(4000));
    fleet.kill(1);
    fleet.run(Milliseconds(5000));
    BOOST_TEST(fleet.divergentViews() == 0u);
    fleet.start(1);
    fleet.pause(2, Milliseconds(2000));
    fleet.run(Milliseconds(6000));
    BOOST_TEST(fleet.divergentViews() == 0u);
    BOOST_TEST(fleet.falseDeaths() == 0u);
    compare("membership-failures.txt");
}

// Guards against two groups of balancers that join through different seeds and never merge.
BOOST_AUTO_TEST_CASE(balancersThatStartAtOnceAllKnowEachOther)
{
    for (const std::size_t balancers : {2u, 3u, 10u, 30u}) {
        Fleet fleet(settings(balancers));
        fleet.run(Milliseconds(15000));
        BOOST_TEST(fleet.divergentViews() == 0u);
    }
}

// Guards against a planned leave that peers detect as a failure by their probes.
BOOST_AUTO_TEST_CASE(leavingBalancerIsGoneEverywhereWithinTwoSecondsWithoutSuspicion)
{
    Fleet fleet(settings(20));
    fleet.run(Milliseconds(20000));
    fleet.core(6).leave(fleet.now());
    fleet.run(Milliseconds(200));
    fleet.kill(6);
    fleet.run(Milliseconds(1800));
    BOOST_TEST(fleet.divergentViews() == 0u);
    for (std::size_t i = 0; i < 20; ++i) {
        BOOST_TEST((i == 6 || fleet.core(i).counters().declaredGone == 0u));
    }
}

// Guards against delayed datagrams of an earlier incarnation of a balancer that change the view.
BOOST_AUTO_TEST_CASE(messageOfEarlierIncarnationIsIgnored)
{
    Fleet fleet(settings(3));
    fleet.run(Milliseconds(5000));
    wire::Gossip late;
    late.set_kind(wire::Gossip::PROBE);
    late.set_sender(balancerIdOf(fleet.name(1)).value());
    late.set_incarnation(5);
    late.set_configuration_revision(999);
    fleet.core(0).takeActions();
    fleet.core(0).handleMessage(fleet.now(), PeerAddress {0x0a000002, 7000}, late);
    BOOST_TEST(fleet.core(0).takeActions().empty());
    BOOST_TEST(!fleet.core(0).newestConfigurationPeer().has_value());
    BOOST_TEST(fleet.core(0).counters().staleSenders == 1u);
}

// Guards against balancers that all fetch a new configuration from the same peer.
BOOST_AUTO_TEST_CASE(peersToFetchFromDifferBetweenBalancers)
{
    Fleet fleet(settings(30));
    fleet.run(Milliseconds(20000));
    fleet.core(0).setConfiguration(Revision(5), 50);
    std::map<std::string, int> sources;
    for (int step = 0; step < 40; ++step) {
        fleet.run(Milliseconds(50));
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            const auto peer = fleet.core(i).newestConfigurationPeer();
            sources[peer ? peer->name : std::string()] += 1;
        }
    }
    sources.erase(std::string());
    BOOST_TEST(sources.size() >= 5u);
}

BOOST_AUTO_TEST_SUITE_END()
