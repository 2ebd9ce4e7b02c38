#define BOOST_TEST_MODULE Evacuations
#include "relay/evacuations.h"

#include <boost/test/unit_test.hpp>

using namespace rhubarblane;

namespace
{

struct EvacuationsFixture {
    static StorePosition position(std::uint64_t era, std::uint64_t revision)
    {
        return {StoreEra(era), Revision(revision)};
    }

    std::string apply(std::uint64_t revision, const std::set<std::string> &zones)
    {
        return applyAt(position(1, revision), zones);
    }

    std::string applyAt(StorePosition asOf, const std::set<std::string> &zones)
    {
        now = now + Milliseconds(10);
        return joinNames(evacuations.apply(now, {asOf, zones}));
    }

    static bool isAccepted(std::uint64_t revision, const std::vector<std::string> &zones, std::uint64_t era = 1)
    {
        wire::relay::Evacuations message;
        message.set_as_of(revision);
        message.set_era(era);
        for (const std::string &zone : zones) {
            message.add_zones(zone);
        }
        return evacuationsFromWire(message).has_value();
    }

    Timestamp now {1000};
    Evacuations evacuations;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EvacuationsTest, EvacuationsFixture)

// Guards against late messages that restore an ended evacuation or end a running one.
BOOST_AUTO_TEST_CASE(evacuationsWithLateStateKeepLaterOne)
{
    BOOST_TEST(!evacuations.isKnown());
    BOOST_TEST(apply(5, {"a"}) == "a");
    BOOST_TEST(apply(9, {}) == "a");
    BOOST_TEST(apply(5, {"a"}).empty());
    BOOST_TEST(!evacuations.includes("a"));
    BOOST_TEST(apply(12, {"a"}) == "a");
    BOOST_TEST(apply(9, {}).empty());
    BOOST_TEST(apply(12, {}).empty());
    BOOST_TEST(evacuations.includes("a"));
}

// Guards against evacuations of a restored store that have no effect until its revision has passed the one from before
// (review/11), and against peers that restore the former state.
BOOST_AUTO_TEST_CASE(evacuationsOfRestoredStoreReplaceThoseOfHigherRevisions)
{
    applyAt(position(1, 120), {"a"});
    BOOST_TEST(applyAt(position(2, 110), {"b"}) == "a,b");
    BOOST_TEST(applyAt(position(1, 130), {"a"}).empty());
    BOOST_TEST(applyAt(position(0, 140), {"a"}).empty());
    BOOST_TEST(applyAt(position(2, 111), {}) == "b");
    // A process may miss the time between two restores.
    BOOST_TEST(applyAt(position(4, 90), {"c"}) == "c");
    BOOST_TEST(applyAt(position(3, 111), {"d"}).empty());
    const std::optional<EvacuatedZones> received = evacuationsFromWire(toWire(evacuations.state()));
    BOOST_REQUIRE(received.has_value());
    BOOST_TEST((received->asOf == position(4, 90)));
}

// Guards against a second evacuation that restarts or hides the first one.
BOOST_AUTO_TEST_CASE(evacuationsWithSecondZoneKeepStartOfFirst)
{
    apply(5, {"a"});
    BOOST_TEST(apply(6, {"a", "b"}) == "b");
    BOOST_TEST(evacuations.since().at("a").milliseconds() == 1010);
    BOOST_TEST(evacuations.since().at("b").milliseconds() == 1020);
    BOOST_TEST(apply(7, {"b", "c"}) == "a,c");
    BOOST_TEST(evacuations.since().count("a") == 0u);
}

// Guards against a fault that leaves no trace in the logs, and against a line for each repeated hello message.
BOOST_AUTO_TEST_CASE(evacuationsWithIgnoredStateNoteItOnce)
{
    apply(9, {"a"});
    BOOST_TEST(!evacuations.noteIgnored({position(1, 5), {"a"}}));
    BOOST_TEST(evacuations.noteIgnored({position(1, 5), {}}));
    BOOST_TEST(!evacuations.noteIgnored({position(1, 5), {}}));
    BOOST_TEST(evacuations.noteIgnored({position(1, 6), {}}));
}

// Guards against a message of a faulty peer that stays in force forever or saturates links when it is passed on.
BOOST_AUTO_TEST_CASE(evacuationsWithInvalidMessageAreRejected)
{
    BOOST_TEST(isAccepted(5, {"a", std::string(64, 'x')}));
    BOOST_TEST(isAccepted(5, {}));
    BOOST_TEST(!isAccepted(0, {"a"}));
    BOOST_TEST(!isAccepted(~0ULL, {"a"}));
    BOOST_TEST(!isAccepted(5, {"a"}, ~0ULL));
    BOOST_TEST(!isAccepted(5, {""}));
    BOOST_TEST(!isAccepted(5, {"a/b"}));
    BOOST_TEST(!isAccepted(5, {std::string(65, 'x')}));
    BOOST_TEST(!isAccepted(5, std::vector<std::string>(MaximumEvacuatedZones + 1, "a")));
}

BOOST_AUTO_TEST_SUITE_END()
