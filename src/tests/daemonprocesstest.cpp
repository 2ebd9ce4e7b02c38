#define BOOST_TEST_MODULE DaemonProcess
#include "standins/answerpacket.h"
#include "standins/callerstandin.h"
#include "standins/fabricstandin.h"
#include "standins/targetstandin.h"
#include "wire/ippacket.h"

#include <boost/process.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <fstream>
#include <memory>

using namespace rhubarblane;
namespace process = boost::process;

namespace
{

constexpr std::uint32_t loopback = 0x7f000001;
// Only prevents the test from running forever; no result depends on the value.
constexpr std::chrono::seconds guardTime(60);

struct ProcessFixture {
    boost::asio::io_context context;
    std::string prefix = "daemonprocesstest-" + std::to_string(getpid());
    std::vector<std::unique_ptr<process::child>> children;
    std::vector<PeerAddress> fabricSides;
    std::vector<PeerAddress> balancers;
    std::unique_ptr<FabricStandin> fabric;

    ProcessFixture()
    {
        std::ofstream(prefix + ".key") << "0123456789abcdef";
        std::ofstream(prefix + ".json") << R"({"services": {"readings": {"address": "10.100.0.1", "port": 5000},
                                "archive": {"address": "10.100.0.2", "port": 80, "protocol": "tcp"}},
                   "rules": {"readings": {"service": "readings", "selector": {"labels": {"app": "readings"}}},
                             "archive": {"service": "archive", "selector": {"labels": {"app": "archive"}}}}})";
        for (int i = 0; i < 3; ++i) {
            balancers.push_back(freeAddress());
            fabricSides.push_back(freeAddress());
        }
        FabricStandinSettings settings;
        settings.callers = settings.answers = settings.control = PeerAddress {loopback, 0};
        settings.balancers = fabricSides;
        fabric = std::make_unique<FabricStandin>(context, settings);
        for (std::size_t i = 0; i < balancers.size(); ++i) {
            start({"balancer",
                   "--name=balancer-" + std::to_string(i),
                   "--listen=" + formatPeerAddress(balancers[i]),
                   "--fabric-listen=" + formatPeerAddress(fabricSides[i]),
                   "--configuration=" + prefix + ".json"});
        }
    }
    ~ProcessFixture()
    {
        for (const auto &child : children) {
            child->terminate();
        }
        std::remove((prefix + ".key").c_str());
        std::remove((prefix + ".json").c_str());
    }

    // Another process may take the port before it is used; the daemon's start and the test then fail.
    PeerAddress freeAddress()
    {
        boost::asio::ip::udp::socket socket(context, {boost::asio::ip::address_v4(loopback), 0});
        return PeerAddress {loopback, socket.local_endpoint().port()};
    }

    process::child &start(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.end(), {"--key-file=" + prefix + ".key", "--log-level=error"});
        children.push_back(std::make_unique<process::child>(RHUBARBLANE_DAEMON_PATH, process::args(arguments)));
        return *children.back();
    }

    process::child &startAgent(const std::string &name, const std::string &service, const PeerAddress &target)
    {
        std::string list;
        for (const PeerAddress &balancer : balancers) {
            list += (list.empty() ? "" : ",") + formatPeerAddress(balancer);
        }
        return start({"agent",
                      "--name=" + name,
                      "--listen=" + formatPeerAddress(freeAddress()),
                      "--balancers=" + list,
                      "--fabric=" + formatPeerAddress(fabric->answersAddress()),
                      "--target=" + formatPeerAddress(target),
                      "--labels=app=" + service,
                      "--slots=4"});
    }

    // Waits for the "started" log line. A signal sent earlier would reach the process before it handles signals.
    static void awaitStart(process::ipstream &log)
    {
        std::string line;
        while (std::getline(log, line) && line.find("event=started") == std::string::npos) { }
    }

    void runUntil(const std::function<bool()> &done)
    {
        const auto end = std::chrono::steady_clock::now() + guardTime;
        while (!done()) {
            BOOST_REQUIRE(std::chrono::steady_clock::now() < end);
            context.run_for(std::chrono::milliseconds(20));
        }
    }

    // Resends a packet until its reply arrives, because packets sent before the first announcement are lost.
    std::string ask(DatagramPort &caller, const FlowTuple &flow, std::string &answer)
    {
        answer.clear();
        runUntil([&] {
            caller.send(fabric->callersAddress(), buildUdpRequest(flow, "hello " + std::to_string(flow.callerPort)));
            return !answer.empty();
        });
        return answer;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DaemonProcessTest, ProcessFixture)

// Guards against a path that works only with the project's simulated targets; the target here is a plain UDP echo
// server.
BOOST_AUTO_TEST_CASE(daemonsWithPlainUdpEchoAnswerEachCaller)
{
    std::unique_ptr<DatagramPort> echo;
    echo = std::make_unique<DatagramPort>(
        context, PeerAddress {loopback, 0}, [&](const PeerAddress &from, std::string_view datagram) {
            echo->send(from, datagram);
        });
    startAgent("echo-1", "readings", echo->localAddress());
    std::string answer;
    DatagramPort caller(context, PeerAddress {loopback, 0}, [&](const PeerAddress &, std::string_view packet) {
        const auto parsed = parseAnswerPacket(packet);
        if (parsed && parsed->kind == AnswerPacket::Kind::Udp) {
            answer = std::to_string(parsed->callerPort) + " " + parsed->payload;
        }
    });
    FlowTuple flow {0x0ac80001, 0x0a640001, 2000, 5000, Protocol::Udp};
    ask(caller, flow, answer);
    for (flow.callerPort = 3000; flow.callerPort < 3020; ++flow.callerPort) {
        const std::string port = std::to_string(flow.callerPort);
        std::string expected = port;
        expected += " hello " + port;
        runUntil([&] { return ask(caller, flow, answer) == expected; });
    }
}

// Guards against a TCP connection that breaks when its segments arrive through different balancers.
BOOST_AUTO_TEST_CASE(daemonsWithTcpSegmentsOverAllBalancersKeepConversationsWhole)
{
    TargetStandinSettings targetSettings;
    targetSettings.name = "archive";
    targetSettings.service = "archive";
    targetSettings.listen = PeerAddress {loopback, 0};
    targetSettings.encapsulatedTcp = true;
    targetSettings.slots = 4;
    const TargetStandin target(context, targetSettings);
    startAgent("archive-1", "archive", target.localAddress());
    CallerStandinSettings settings;
    settings.name = "tcp";
    settings.fabric = fabric->callersAddress();
    settings.address = 0x0ac80002;
    settings.service = "archive";
    settings.serviceAddress = PeerAddress {0x0a640002, 80};
    settings.kind = CallerKind::Upload;
    settings.tcp = true;
    settings.flows = 10;
    settings.chunks = 20;
    settings.chunkIntervalMs = 5;
    settings.durationMs = 3000;
    settings.timeoutMs = 30000;
    bool done = false;
    const CallerStandin callers(context, settings, [&done] { done = true; });
    runUntil([&done] { return done; });
    BOOST_TEST_MESSAGE(callers.summary());
    BOOST_TEST(callers.counters().completed >= 10u);
    BOOST_TEST(callers.counters().completed + callers.counters().refused == callers.counters().flows);
    BOOST_TEST(callers.counters().broken == 0u);
    BOOST_TEST(callers.counters().misrouted == 0u);
    BOOST_TEST(callers.counters().duplicates == 0u);
}

// Guards against a process that ignores SIGTERM or exits with a failure code after a graceful stop.
BOOST_AUTO_TEST_CASE(daemonsOnTerminateEndWithSuccess)
{
    const std::string key = "--key-file=" + prefix + ".key";
    const std::vector<std::vector<std::string>> roles {
        {"agent", "--fabric=127.0.0.1:9", "--target=127.0.0.1:9", "--balancers=127.0.0.1:9"},
        {"balancer", "--fabric-listen=" + formatPeerAddress(freeAddress())}};
    for (std::vector<std::string> arguments : roles) {
        arguments.insert(arguments.end(), {key, "--name=x", "--listen=" + formatPeerAddress(freeAddress())});
        process::ipstream log;
        process::child child(RHUBARBLANE_DAEMON_PATH, process::args(arguments), process::std_out > log);
        awaitStart(log);
        kill(child.id(), SIGTERM);
        BOOST_REQUIRE(child.wait_for(guardTime));
        BOOST_TEST(child.exit_code() == 0);
    }
}

BOOST_AUTO_TEST_SUITE_END()
