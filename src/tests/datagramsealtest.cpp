#define BOOST_TEST_MODULE DatagramSeal
#include "wire/datagramseal.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace rhubarblane;

namespace
{

struct SealFixture {
    const std::string key = "0123456789abcdef";
    DatagramSeal sender {key, 1, Incarnation(10)};
    DatagramSeal receiver {key, 2, Incarnation(10)};

    bool opens(const std::string &datagram)
    {
        return std::holds_alternative<std::string_view>(receiver.open(datagram));
    }
    void checkError(const std::string &datagram, SealError expected)
    {
        const auto opened = receiver.open(datagram);
        BOOST_REQUIRE(std::holds_alternative<SealError>(opened));
        BOOST_TEST(static_cast<int>(std::get<SealError>(opened)) == static_cast<int>(expected));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DatagramSealTest, SealFixture)

// Guards against a payload that is changed by seal() and open().
BOOST_AUTO_TEST_CASE(openOfSealedDatagramReturnsPayload)
{
    const std::string datagram = sender.seal(std::string("a\0b", 3));
    BOOST_TEST(std::get<std::string_view>(receiver.open(datagram)) == std::string_view("a\0b", 3));
}

// Guards against accepting datagrams of another deployment, or datagrams with a changed byte.
BOOST_AUTO_TEST_CASE(openOfForeignOrChangedDatagramIsBadTag)
{
    checkError(DatagramSeal("another key here", 1, Incarnation(10)).seal("x"), SealError::BadTag);
    const std::string datagram = sender.seal("payload");
    for (std::size_t i = 0; i < datagram.size(); ++i) {
        std::string changed = datagram;
        changed[i] = static_cast<char>(changed[i] ^ 1);
        checkError(changed, SealError::BadTag);
    }
    BOOST_TEST(opens(datagram));
}

// Guards against reading past the end of a short datagram.
BOOST_AUTO_TEST_CASE(openOfTruncatedDatagramIsRejected)
{
    const std::string datagram = sender.seal("payload");
    for (std::size_t size = 0; size < datagram.size(); ++size) {
        BOOST_TEST(!opens(datagram.substr(0, size)));
    }
}

// Guards against replayed datagrams.
BOOST_AUTO_TEST_CASE(openOfReplayedDatagramIsReplayed)
{
    std::vector<std::string> datagrams;
    datagrams.reserve(3000);
    for (int i = 0; i < 3000; ++i) {
        datagrams.push_back(sender.seal("x"));
    }
    BOOST_TEST(opens(datagrams[2999]));
    checkError(datagrams[2999], SealError::Replayed);
    // A late datagram is accepted once if it is within the window; an older one cannot be distinguished from a replay.
    BOOST_TEST(opens(datagrams[1000]));
    checkError(datagrams[1000], SealError::Replayed);
    checkError(datagrams[100], SealError::Replayed);
}

// Guards against accepting datagrams that a process sent before its restart and that arrive after it.
BOOST_AUTO_TEST_CASE(openOfEarlierIncarnationIsStale)
{
    const std::string old = sender.seal("old");
    BOOST_TEST(opens(DatagramSeal(key, 1, Incarnation(11)).seal("new")));
    checkError(old, SealError::StaleIncarnation);
    // Another sender with a lower incarnation is not affected.
    BOOST_TEST(opens(DatagramSeal(key, 3, Incarnation(1)).seal("x")));
}

BOOST_AUTO_TEST_SUITE_END()
