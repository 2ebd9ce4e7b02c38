#define BOOST_TEST_MODULE Packet
#include "standins/answerpacket.h"
#include "wire/ippacket.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace rhubarblane;

namespace
{

struct PacketFixture {
    FlowTuple flow {0x0ac80001, 0x0a640001, 1234, 5000, Protocol::Udp};
    std::string packet = buildUdpRequest(flow, "payload");
    // A SYN of 10.200.0.1:1234 to 10.100.0.1:5000 with sequence number 7 and no options.
    std::string syn {
        std::string("\x45\x00\x00\x28\x00\x01\x00\x00\x40\x06\x00\x00\x0a\xc8\x00\x01\x0a\x64\x00\x01", 20)
        + std::string("\x04\xd2\x13\x88\x00\x00\x00\x07\x00\x00\x00\x00\x50\x02\xff\xff\x00\x00\x00\x00", 20)};

    static void checkError(const std::string &bytes, PacketError expected)
    {
        const auto parsed = parsePacket(bytes);
        BOOST_REQUIRE(std::holds_alternative<PacketError>(parsed));
        BOOST_TEST(static_cast<int>(std::get<PacketError>(parsed)) == static_cast<int>(expected));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PacketTest, PacketFixture)

// Guards against a flow tuple with swapped endpoints or a wrong payload offset.
BOOST_AUTO_TEST_CASE(parsePacketOfUdpFindsFlowAndPayload)
{
    const PacketInfo info = std::get<PacketInfo>(parsePacket(packet));
    BOOST_TEST((info.flow == flow));
    BOOST_TEST(packet.substr(info.payloadOffset, info.payloadSize) == "payload");
    BOOST_TEST(info.canOpenFlow());
}

// Guards against a crash or a read past the end if a packet is truncated at any byte.
BOOST_AUTO_TEST_CASE(parsePacketOfTruncatedPacketIsMalformed)
{
    for (const std::string &whole : {packet, syn}) {
        for (std::size_t size = 0; size < whole.size(); ++size) {
            BOOST_TEST(std::holds_alternative<PacketError>(parsePacket(std::string_view(whole).substr(0, size))), size);
        }
    }
}

// Guards against ports that are read from the payload of a fragment, which has no transport header.
BOOST_AUTO_TEST_CASE(parsePacketOfFragmentIsFragment)
{
    std::string first = packet;
    first[6] = 0x20;
    checkError(first, PacketError::Fragment);
    std::string later = packet;
    later[7] = 0x08;
    checkError(later, PacketError::Fragment);
}

// Guards against packets of other protocols that are parsed as TCP or UDP.
BOOST_AUTO_TEST_CASE(parsePacketOfOtherProtocolIsUnsupported)
{
    std::string icmp = packet;
    icmp[9] = 1;
    const auto parsed = parsePacket(icmp);
    BOOST_TEST(std::holds_alternative<PacketError>(parsed));
}

// Guards against a crash on random bytes and on packets with any bytes changed.
BOOST_AUTO_TEST_CASE(parsePacketOfJunkNeverReadsPastTheEnd)
{
    std::mt19937 random(7);
    for (int round = 0; round < 20000; ++round) {
        std::string bytes = round % 2 == 0 ? packet : syn;
        for (int change = 0; change < 4; ++change) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        bytes.resize(1 + random() % bytes.size());
        const auto parsed = parsePacket(bytes);
        if (const PacketInfo *info = std::get_if<PacketInfo>(&parsed)) {
            BOOST_TEST(info->payloadOffset + info->payloadSize <= bytes.size());
            buildRefusal(bytes, *info, Refusal::Unknown);
        }
        parseAnswerPacket(bytes);
    }
}

// Guards against a refusal that the caller cannot attribute to its flow.
BOOST_AUTO_TEST_CASE(buildRefusalOfUdpNamesCallerAndReason)
{
    const PacketInfo info = std::get<PacketInfo>(parsePacket(packet));
    for (const auto &[refusal, code] : {std::pair(Refusal::NotRun, 13), std::pair(Refusal::Unknown, 1)}) {
        const auto answer = parseAnswerPacket(buildRefusal(packet, info, refusal));
        BOOST_REQUIRE(answer.has_value());
        BOOST_TEST(answer->code == code);
        BOOST_TEST(answer->callerPort == flow.callerPort);
        BOOST_TEST(answer->servicePort == flow.servicePort);
    }
}

// Guards against a reset that the caller's TCP ignores because it does not acknowledge the SYN.
BOOST_AUTO_TEST_CASE(buildRefusalOfSynIsResetThatAcknowledgesIt)
{
    const PacketInfo info = std::get<PacketInfo>(parsePacket(syn));
    const PacketInfo reset = std::get<PacketInfo>(parsePacket(buildRefusal(syn, info, Refusal::NotRun)));
    BOOST_TEST(reset.reset);
    BOOST_TEST(reset.ack);
    BOOST_TEST(reset.acknowledgement == 8u);
    BOOST_TEST(reset.flow.callerPort == flow.servicePort);
}

// Guards against a reset of the SYN, which means "not run" to the caller, although the request may have run.
BOOST_AUTO_TEST_CASE(buildRefusalOfSynWithUnknownOutcomeIsUnreachable)
{
    const PacketInfo info = std::get<PacketInfo>(parsePacket(syn));
    const auto answer = parseAnswerPacket(buildRefusal(syn, info, Refusal::Unknown));
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->code == 1);
}

BOOST_AUTO_TEST_SUITE_END()
