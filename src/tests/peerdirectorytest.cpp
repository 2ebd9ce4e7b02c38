#define BOOST_TEST_MODULE PeerDirectory
#include "relay/peerdirectory.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <limits>

using namespace rhubarblane;

namespace
{

struct PeerDirectoryFixture {
    static Peer balancer(int number)
    {
        return {"balancer-" + std::to_string(number),
                PeerRole::Balancer,
                "a",
                {0x0a000000U + static_cast<std::uint32_t>(number), 7720},
                1000};
    }

    /** Returns whether the wire form of a valid peer is still accepted after `change`. */
    static bool isAccepted(const std::function<void(wire::relay::Peer &)> &change)
    {
        wire::relay::Peer encoded = toWire(balancer(1));
        change(encoded);
        return peerFromWire(encoded).has_value();
    }

    PeerDirectory directory {balancer(1)};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PeerDirectoryTest, PeerDirectoryFixture)

// Guards against an entry of another writer whose port or address, once truncated, belongs to a process.
BOOST_AUTO_TEST_CASE(peerWithFieldOutOfRangeIsRejected)
{
    BOOST_TEST(isAccepted([](wire::relay::Peer &) {}));
    BOOST_TEST(!isAccepted([](wire::relay::Peer &peer) { peer.set_port(0); }));
    BOOST_TEST(!isAccepted([](wire::relay::Peer &peer) { peer.set_port(65536); }));
    BOOST_TEST(!isAccepted([](wire::relay::Peer &peer) { peer.set_port(65536 + 7720); }));
    BOOST_TEST(!isAccepted([](wire::relay::Peer &peer) { peer.set_port(std::numeric_limits<std::uint32_t>::max()); }));
    BOOST_TEST(!isAccepted([](wire::relay::Peer &peer) { peer.set_address(0); }));
    BOOST_TEST(!isAccepted([](wire::relay::Peer &peer) { peer.set_address(0xe0000001); }));
    BOOST_TEST(!isAccepted([](wire::relay::Peer &peer) { peer.set_address(0xffffffff); }));
    BOOST_TEST(!isAccepted([](wire::relay::Peer &peer) { peer.set_name(""); }));
    BOOST_TEST(!isAccepted([](wire::relay::Peer &peer) { peer.set_name(std::string(1 << 20, 'x')); }));
    BOOST_TEST(!isAccepted([](wire::relay::Peer &peer) { peer.set_availability_zone(std::string(1 << 20, 'x')); }));
    BOOST_TEST(
        !isAccepted([](wire::relay::Peer &peer) { peer.set_incarnation(std::numeric_limits<std::uint64_t>::max()); }));
}

BOOST_AUTO_TEST_SUITE_END()
