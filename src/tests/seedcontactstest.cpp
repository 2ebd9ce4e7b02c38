#define BOOST_TEST_MODULE SeedContacts
#include "relay/seedcontacts.h"

#include <boost/test/unit_test.hpp>

using namespace rhubarblane;

namespace
{

struct SeedContactsFixture {
    Timestamp now {100000};
    PeerAddress own {0x0a000001, 7720};
    PeerAddress known {0x0a000002, 7720};
    PeerAddress unknown {0x0a000003, 7720};
    PeerDirectory directory {Peer {"balancer-1", PeerRole::Balancer, "a", own, 1000}};
    SeedContacts seeds {{own, known, unknown}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SeedContactsTest, SeedContactsFixture)

// Guards against endless contacts to known balancers and to the process itself.
BOOST_AUTO_TEST_CASE(seedsOfKnownBalancersAndOfProcessItselfAreNotContacted)
{
    directory.recordMention(now, Peer {"balancer-2", PeerRole::Balancer, "a", known, 1000});
    const std::vector<PeerAddress> onlyUnknown {unknown};
    BOOST_TEST((seeds.due(now, directory) == onlyUnknown));
}

// Guards against a start without the store that fails because one message is lost, and against too many messages.
BOOST_AUTO_TEST_CASE(unknownSeedsAreContactedOnceAnInterval)
{
    BOOST_TEST(seeds.due(now, directory).size() == 2u);
    BOOST_TEST(seeds.due(now + Milliseconds(999), directory).empty());
    BOOST_TEST(seeds.due(now + Milliseconds(1000), directory).size() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()
