#define BOOST_TEST_MODULE Standin
#include "standins/runreport.h"
#include "standins/targetstandin.h"
#include "standins/tcpendpoint.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <memory>
#include <random>

using namespace rhubarblane;

namespace
{

// Two TCP endpoints connected by a link that loses and duplicates segments.
struct TcpFixture {
    std::mt19937 random {3};
    std::deque<std::pair<TcpEndpoint *, std::string>> wire;
    std::string atServer;
    std::string atClient;
    TcpEndpoint client {1,
                        10,
                        2,
                        20,
                        100,
                        [this](const std::string &p) { put(server, p); },
                        [this](auto bytes) { atClient.append(bytes); }};
    TcpEndpoint server {2,
                        20,
                        1,
                        10,
                        0xfffffff0,
                        [this](const std::string &p) { put(client, p); },
                        [this](auto bytes) { atServer.append(bytes); }};

    void put(TcpEndpoint &to, const std::string &packet)
    {
        for (std::uint32_t copies = random() % 3; copies > 0; --copies) {
            wire.emplace_back(&to, packet);
        }
    }
    void run(Timestamp from, Timestamp to)
    {
        for (Timestamp now = from; now < to; now = now + Milliseconds(50)) {
            client.tick(now);
            server.tick(now);
            while (!wire.empty()) {
                const auto [end, packet] = wire.front();
                wire.pop_front();
                end->handlePacket(now, packet);
            }
        }
    }
};

web::json::value callers(std::int64_t broken)
{
    web::json::value json = web::json::value::parse(
        R"({"name":"c","service":"s","kind":"book","flows":3,"completed":2,"misrouted":0,"crossed":0,"refused":1,
            "unknown":0,"unanswered":0,"busy":0,"gaps":0,"duplicates":0,"p50Ms":1,"p99Ms":1})");
    json["broken"] = web::json::value(broken);
    return json;
}

web::json::value target(const std::string &name, double speed, double busyMs)
{
    web::json::value json =
        web::json::value::parse(R"({"service":"s","slots":2,"streamMs":0,"misrouted":0,"ran":1,"shed":0})");
    json["name"] = web::json::value(name);
    json["speed"] = web::json::value(speed);
    json["busyMs"] = web::json::value(busyMs);
    return json;
}

} // namespace

// Guards against a stand-in that breaks TCP connections itself, which would hide or imitate faults of the balancers.
BOOST_FIXTURE_TEST_CASE(tcpEndpointOverLossyWireDeliversAllBytesOnce, TcpFixture)
{
    std::string request;
    for (int i = 0; i < 5000; ++i) {
        request += std::to_string(i);
    }
    client.open(Timestamp(0));
    client.write(Timestamp(0), request);
    server.write(Timestamp(0), "answer");
    run(Timestamp(0), Timestamp(20000));
    client.close(Timestamp(20000));
    run(Timestamp(20000), Timestamp(40000));
    BOOST_TEST(atServer == request);
    BOOST_TEST(atClient == "answer");
    BOOST_TEST((client.state() == TcpEndpoint::State::Finished));
    BOOST_TEST((server.state() == TcpEndpoint::State::Finished));
}

// Guards against a target that attributes the SYN of a new flow to an ended flow because the agent reused the port of
// its socket. The caller then never gets an answer.
BOOST_AUTO_TEST_CASE(targetStandinWithSecondFlowFromSamePortOpensIt)
{
    boost::asio::io_context context;
    TargetStandinSettings settings;
    settings.service = "archive";
    settings.listen = PeerAddress {0x7f000001, 0};
    settings.encapsulatedTcp = true;
    const TargetStandin target(context, settings);
    std::unique_ptr<TcpEndpoint> caller;
    const SystemClock clock;
    DatagramPort agent(context, PeerAddress {0x7f000001, 0}, [&](const PeerAddress &, std::string_view packet) {
        caller->handlePacket(clock.now(), packet);
    });
    for (std::uint16_t callerPort = 2000; callerPort < 2002; ++callerPort) {
        std::string answer;
        caller = std::make_unique<TcpEndpoint>(
            1,
            callerPort,
            2,
            80,
            100,
            [&](const std::string &packet) { agent.send(target.localAddress(), packet); },
            [&](std::string_view bytes) { answer.append(bytes); });
        caller->open(clock.now());
        caller->write(clock.now(), formatStandinMessage({"chunk", "archive", std::to_string(callerPort), 0, 0}));
        for (int i = 0; i < 200 && answer.empty(); ++i) {
            context.run_for(std::chrono::milliseconds(10));
            caller->tick(clock.now());
        }
        BOOST_TEST(answer == formatStandinMessage({"got", "archive", std::to_string(callerPort), 0, 0}));
        caller->close(clock.now());
        context.run_for(std::chrono::milliseconds(50));
    }
}

// Guards against a report that misses a violated guarantee.
BOOST_AUTO_TEST_CASE(runReportWithEachFaultNamesThePromise)
{
    RunReport whole;
    whole.addCallers(callers(0));
    whole.addLogLine("ran id-1");
    whole.addLogLine("refused id-2 port=1");
    BOOST_TEST(whole.violations().empty());
    whole.addLogLine("ran id-1");
    whole.addLogLine("ran id-2");
    whole.addCallers(callers(4));
    const std::vector<std::string> broken = whole.violations();
    const std::vector<std::string> expected {
        "P1: 4 flows broke", "P4: 1 refused requests ran", "P5: 1 requests ran twice"};
    BOOST_TEST(broken == expected, boost::test_tools::per_element());
    BOOST_TEST(!RunReport().violations().empty());
}

// Guards against a run that passes although a balancer left a quarter of the requests unanswered.
BOOST_AUTO_TEST_CASE(runReportWithManyUnansweredFlowsIsBroken)
{
    const auto reportWith = [](std::int64_t unanswered) {
        web::json::value json = callers(0);
        json["flows"] = web::json::value(1000);
        json["unanswered"] = web::json::value(unanswered);
        RunReport report;
        report.addCallers(json);
        return report.violations();
    };
    BOOST_TEST(reportWith(10).empty());
    const std::vector<std::string> expected {"11 of 1000 flows of c had no answer"};
    BOOST_TEST(reportWith(11) == expected, boost::test_tools::per_element());
}

// Guards against an imbalance that does not account for the speed of the targets.
BOOST_AUTO_TEST_CASE(imbalanceOfUnequalTargetsIsOneWhenAllAreEquallyBusy)
{
    RunReport report;
    report.addTarget(target("slow", 1, 500));
    report.addTarget(target("fast", 8, 500));
    BOOST_TEST(report.imbalance("s") == 1.0, boost::test_tools::tolerance(1e-9));
    RunReport uneven;
    uneven.addTarget(target("slow", 1, 1000));
    uneven.addTarget(target("fast", 1, 0));
    BOOST_TEST(uneven.imbalance("s") == 2.0, boost::test_tools::tolerance(1e-9));
}
