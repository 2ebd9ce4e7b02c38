#define BOOST_TEST_MODULE EventLoop
#include "daemon/targetlink.h"
#include "runtime/udpsocket.h"
#include "wire/ippacket.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace rhubarblane;

namespace
{

struct LoopFixture {
    SystemClock clock;
    EventLoop loop {clock, Milliseconds(5)};
    PeerAddress local {0x7f000001, 0};
    FlowTuple flow {0x0ac80001, 0x0a640001, 1234, 5000, Protocol::Udp};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EventLoopTest, LoopFixture)

// Guards against datagrams that are lost or altered when they span several batches.
BOOST_AUTO_TEST_CASE(udpSocketWithSeveralBatchesDeliversAll)
{
    UdpSocket sender = takeValue(UdpSocket::bound(local));
    UdpSocket receiver = takeValue(UdpSocket::bound(local));
    std::vector<std::string> received;
    loop.add(receiver.descriptor(), [&] {
        receiver.receiveBatch([&](const PeerAddress &from, std::string_view datagram) {
            BOOST_TEST((from == sender.localAddress()));
            received.emplace_back(datagram);
        });
        if (received.size() == 150) {
            loop.stop();
        }
    });
    for (int i = 0; i < 150; ++i) {
        sender.queue(receiver.localAddress(), std::to_string(i));
    }
    sender.flush();
    loop.run();
    for (std::size_t i = 0; i < received.size(); ++i) {
        BOOST_TEST(received[i] == std::to_string(i));
    }
}

// Guards against a send error of one destination that drops the datagrams for other destinations.
BOOST_AUTO_TEST_CASE(udpSocketWithRefusedDatagramSendsTheRest)
{
    UdpSocket sender = takeValue(UdpSocket::bound(local));
    const UdpSocket receiver = takeValue(UdpSocket::bound(local));
    sender.queue(receiver.localAddress(), "first");
    sender.queue(receiver.localAddress(), std::string(70000, 'x'));
    sender.queue(receiver.localAddress(), "last");
    sender.flush();
    BOOST_TEST(sender.counters().sent == 2u);
    BOOST_TEST(sender.counters().sendErrors == 1u);
}

// Guards against a control thread that blocks forever in call() when the process stops.
BOOST_AUTO_TEST_CASE(callAfterEndOfRunReturnsNone)
{
    loop.onTick([this](Timestamp) { loop.stop(); });
    std::thread runner([this] { loop.run(); });
    runner.join();
    BOOST_TEST(!loop.call([] { return 1; }).has_value());
}

// Guards against a query that runs on the calling thread, where it would race with packet processing.
BOOST_AUTO_TEST_CASE(callDuringRunUsesLoopThread)
{
    std::thread::id loopThread;
    std::thread runner([&] {
        loopThread = std::this_thread::get_id();
        loop.run();
    });
    const auto thread = loop.call([this] {
        loop.stop();
        return std::this_thread::get_id();
    });
    runner.join();
    BOOST_TEST((thread == loopThread));
}

// Guards against a target that sees all flows as one peer, and against replies that reach the wrong flow.
BOOST_AUTO_TEST_CASE(targetLinkWithTwoFlowsKeepsThemApart)
{
    UdpSocket echo = takeValue(UdpSocket::bound(local));
    loop.add(echo.descriptor(), [&] {
        echo.receiveBatch(
            [&](const PeerAddress &from, std::string_view datagram) { echo.queue(from, std::string(datagram)); });
        echo.flush();
    });
    TargetLink link(loop, echo.localAddress());
    std::map<std::uint64_t, std::string> answers;
    link.setHandlers(
        [&](const FlowTuple &, FlowNumber number, const std::string &packet) {
            answers[number.value()] = packet;
            if (answers.size() == 2) {
                loop.stop();
            }
        },
        [](const FlowTuple &, FlowNumber) {});
    FlowTuple other = flow;
    other.callerPort = 4321;
    link.deliver({flow, FlowNumber(1), buildUdpRequest(flow, "one")});
    link.deliver({other, FlowNumber(2), buildUdpRequest(other, "two")});
    loop.run();
    BOOST_TEST(answers[1] == buildUdpReply(flow, "one"));
    BOOST_TEST(answers[2] == buildUdpReply(other, "two"));
    link.close({flow, FlowNumber(1)});
    BOOST_TEST(link.openSockets() == 1u);
}

// Guards against callers that wait for a target whose process has exited.
BOOST_AUTO_TEST_CASE(targetLinkWithClosedPortReportsFlowClosed)
{
    PeerAddress closed;
    {
        closed = takeValue(UdpSocket::bound(local)).localAddress();
    }
    TargetLink link(loop, closed);
    std::vector<std::uint64_t> refused;
    link.setHandlers([](const FlowTuple &, FlowNumber, const std::string &) {},
                     [&](const FlowTuple &, FlowNumber number) {
                         refused.push_back(number.value());
                         loop.stop();
                     });
    link.deliver({flow, FlowNumber(9), buildUdpRequest(flow, "x")});
    loop.run();
    BOOST_TEST(refused == std::vector<std::uint64_t> {9}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
