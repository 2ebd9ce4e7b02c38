#define BOOST_TEST_MODULE PeerRotation
#include "relay/peerrotation.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

using namespace rhubarblane;

namespace
{

struct PeerRotationFixture {
    static Peer peer(int number, PeerRole role = PeerRole::Balancer)
    {
        return {"process-" + std::to_string(number),
                role,
                "a",
                {0x0a000000U + static_cast<std::uint32_t>(number), 7720},
                1000};
    }

    void add(int first, int last)
    {
        for (int number = first; number <= last; ++number) {
            directory.recordMention(now, peer(number));
        }
    }

    std::set<std::string> next(std::size_t count)
    {
        std::set<std::string> names;
        for (const PeerDirectory::Entry *entry : rotation.next(directory, PeerRole::Balancer, count)) {
            names.insert(entry->peer.name);
            ++returned[entry->peer.name];
        }
        return names;
    }

    Timestamp now {1000};
    PeerDirectory directory {peer(0)};
    PeerRotation rotation {7};
    std::map<std::string, int> returned;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PeerRotationTest, PeerRotationFixture)

// Guards against a small fleet in which a peer is left out.
BOOST_AUTO_TEST_CASE(rotationOfSmallFleetReturnsAllPeersEachTime)
{
    add(1, 16);
    directory.recordMention(now, peer(17, PeerRole::Agent));
    BOOST_TEST(next(16).size() == 16u);
    BOOST_TEST(next(16).size() == 16u);
}

// Guards against a peer of a large fleet that gets messages rarely or never.
BOOST_AUTO_TEST_CASE(rotationOfLargeFleetReturnsEachPeerOnceARound)
{
    add(1, 90);
    for (int call = 0; call < 45; ++call) {
        BOOST_TEST(next(16).size() == 16u);
    }
    BOOST_TEST(returned.size() == 90u);
    for (const auto &[name, times] : returned) {
        BOOST_TEST(times == 8);
    }
}

// Guards against messages to a process that has left, and against a new process that is left out for a round.
BOOST_AUTO_TEST_CASE(rotationWithChangedFleetReturnsItsPresentPeers)
{
    add(1, 40);
    next(16);
    directory.remove(peer(5).id());
    add(41, 45);
    returned.clear();
    for (int call = 0; call < 6; ++call) {
        next(16);
    }
    BOOST_TEST(returned.size() == 44u);
    BOOST_TEST(returned.count("process-5") == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
