#define BOOST_TEST_MODULE ConfigurationCore
#include "control/configurationcore.h"
#include "control/configurationfetcher.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace rhubarblane;

namespace
{

struct CoreFixture {
    std::vector<std::uint64_t> applied;
    ConfigurationCore core {
        [this](const Configuration &configuration) { applied.push_back(configuration.revision.value()); }};
    ConfigurationCore peer {{}};

    static std::string drainKey(const std::string &name)
    {
        return configurationKey(ResourceKind::Drain, name);
    }

    static ConfigurationSnapshot snapshot(std::uint64_t revision, const std::vector<std::string> &drains)
    {
        ConfigurationSnapshot result;
        result.revision = Revision(revision);
        for (const std::string &name : drains) {
            result.entries[drainKey(name)] = {R"({"generation":1,"spec":{}})", Revision(revision)};
        }
        return result;
    }

    static wire::ConfigurationReply reply(const ConfigurationCore &from, std::uint64_t known)
    {
        wire::ConfigurationRequest request;
        request.set_known_revision(known);
        return from.replyTo(request);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConfigurationCoreTest, CoreFixture)

// Guards against a configuration that reverts when a store or peer responds with an older revision.
BOOST_AUTO_TEST_CASE(configurationCoreWithOlderSnapshotKeepsTheNewerOne)
{
    BOOST_TEST(core.applySnapshot(snapshot(5, {"a"})));
    BOOST_TEST(!core.applySnapshot(snapshot(4, {"b"})));
    BOOST_TEST(!core.applySnapshot(snapshot(5, {"b"})));
    peer.applySnapshot(snapshot(3, {"c"}));
    BOOST_TEST(!core.applyReply(Revision(5), reply(peer, 5)).has_value());
    BOOST_TEST(core.current()->configuration.drains.count("a") == 1U);
    BOOST_TEST(applied == std::vector<std::uint64_t> {5}, boost::test_tools::per_element());
}

// Guards against deltas that omit changes or removals.
BOOST_AUTO_TEST_CASE(configurationCoreAppliesRandomChangesOfAPeerByDeltas)
{
    std::mt19937 random(11);
    int deltas = 0;
    ConfigurationSnapshot next = snapshot(1, {});
    for (std::uint64_t revision = 2; revision < 600; ++revision) {
        next.revision = Revision(revision);
        const std::string key = drainKey("t" + std::to_string(random() % 20));
        if (random() % 3 == 0) {
            next.entries.erase(key);
        } else {
            next.entries[key] = {R"({"generation":1,"spec":{}})", Revision(revision)};
        }
        peer.applySnapshot(next);
        if (random() % 4 == 0) {
            const Revision known = core.current()->snapshot.revision;
            const wire::ConfigurationReply answer = reply(peer, known.value());
            BOOST_REQUIRE(!core.applyReply(known, answer).has_value());
            BOOST_REQUIRE((core.current()->snapshot.entries == peer.current()->snapshot.entries));
            deltas += answer.whole() ? 0 : 1;
        }
    }
    BOOST_TEST(deltas > 100);
}

// Guards against applying a corrupted reply, or a delta that starts at another revision than the current one.
BOOST_AUTO_TEST_CASE(configurationCoreWithMismatchedReplyChangesNothing)
{
    core.applySnapshot(snapshot(2, {"a"}));
    peer.applySnapshot(snapshot(2, {"a"}));
    peer.applySnapshot(snapshot(7, {"a", "b"}));
    wire::ConfigurationReply damaged = reply(peer, 2);
    damaged.mutable_objects(0)->set_value("x");
    BOOST_TEST((core.applyReply(Revision(2), damaged)->code == ErrorCode::Conflict));
    BOOST_TEST((core.applyReply(Revision(1), reply(peer, 2))->code == ErrorCode::Conflict));
    BOOST_TEST((core.current()->snapshot.revision == Revision(2)));
    BOOST_TEST(!core.applyReply(Revision(2), reply(peer, 2)).has_value());
    BOOST_TEST((core.current()->snapshot.revision == Revision(7)));
}

// Guards against sending a delta to a peer whose revision is older than the recorded removals.
BOOST_AUTO_TEST_CASE(configurationCoreSendsAllObjectsForARevisionBeforeItsFirst)
{
    peer.applySnapshot(snapshot(5, {"a"}));
    BOOST_TEST(reply(peer, 4).whole());
    BOOST_TEST(reply(peer, 0).whole());
    BOOST_TEST(!reply(peer, 5).whole());
}

// Guards against a fetcher that does not request the whole snapshot after a delta failed to apply, and against one that
// applies a snapshot with another digest than the announced one.
BOOST_AUTO_TEST_CASE(configurationFetcherWithMismatchedDeltaFetchesTheWholeSnapshot)
{
    core.applySnapshot(snapshot(2, {"other"}));
    peer.applySnapshot(snapshot(2, {"a"}));
    peer.applySnapshot(snapshot(7, {"a", "b"}));
    std::vector<std::uint64_t> asked;
    std::uint64_t announced = 1;
    ConfigurationFetcher fetcher(
        "b1",
        core,
        [&] {
            return std::vector<BalancerRevision> {
                {"b1", Revision(9), 0, {1, 1}}, {"b2", Revision(7), announced, {2, 1}}, {"b3", Revision(5), 0, {3, 1}}};
        },
        [&](const PeerAddress &address, Revision known) -> Outcome<wire::ConfigurationReply> {
            BOOST_TEST(address.address == 2U);
            asked.push_back(known.value());
            return reply(peer, known.value());
        },
        std::mt19937_64(1));
    fetcher.step();
    BOOST_TEST((core.current()->snapshot.revision == Revision(2)));
    announced = peer.current()->configuration.digest;
    fetcher.step();
    BOOST_TEST((core.current()->snapshot.revision == Revision(7)));
    fetcher.step();
    BOOST_TEST(asked == (std::vector<std::uint64_t> {2, 0, 2, 0}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
