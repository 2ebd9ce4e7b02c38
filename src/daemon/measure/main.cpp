// Measures the packets per second that one thread forwards on loopback. Compares a plain recvmmsg/sendmmsg relay with
// the balancer's path (parse, flow cache, message, seal); both run alternately in one process. Never installed.
#include "balancer/balancercore.h"
#include "daemon/sealedtransport.h"
#include "wire/ippacket.h"

#include <poll.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <thread>
#include <vector>

using namespace rhubarblane;

namespace
{

constexpr int Rounds = 5;
constexpr int Flows = 1000;
constexpr std::size_t PayloadBytes = 200;
constexpr std::chrono::milliseconds RoundTime(1000);
const PeerAddress loopback {0x7f000001, 0};

struct Result {
    double packetsPerSecond = 0;
    double cpuNanoseconds = 0;
};

double threadSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

void waitReadable(int descriptor)
{
    pollfd waiting {descriptor, POLLIN, 0};
    poll(&waiting, 1, 10);
}

FlowTuple flowOf(int number)
{
    return FlowTuple {0x0ac80001, 0x0a640001, static_cast<std::uint16_t>(1024 + number), 5000, Protocol::Udp};
}

/** Sends packets continuously, so that the forwarding thread is the bottleneck, and measures that thread. */
template<typename Forward>
Result measure(UdpSocket &entry, Forward forward)
{
    std::atomic<bool> running {true};
    const PeerAddress to = entry.localAddress();
    std::thread sender([&] {
        UdpSocket socket = takeValue(UdpSocket::bound(loopback));
        std::vector<std::string> packets;
        packets.reserve(Flows);
        for (int i = 0; i < Flows; ++i) {
            packets.push_back(buildUdpRequest(flowOf(i), std::string(PayloadBytes, 'x')));
        }
        for (std::size_t i = 0; running; ++i) {
            socket.queue(to, packets[i % packets.size()]);
        }
    });
    const double cpuBefore = threadSeconds();
    const auto begin = std::chrono::steady_clock::now();
    const std::uint64_t before = entry.counters().received;
    while (std::chrono::steady_clock::now() - begin < RoundTime) {
        waitReadable(entry.descriptor());
        forward();
    }
    const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    const double cpu = threadSeconds() - cpuBefore;
    const auto packets = static_cast<double>(entry.counters().received - before);
    running = false;
    sender.join();
    return {packets / seconds, cpu / packets * 1e9};
}

/** Sets up a balancer core with one service, one target at `sink` and a cached owner for each flow. */
void prepare(BalancerCore &core, const PeerAddress &sink)
{
    Configuration configuration;
    configuration.revision = Revision(1);
    ServiceSpec service;
    service.name = "readings";
    service.address = flowOf(0).serviceAddress;
    service.port = flowOf(0).servicePort;
    configuration.services["readings"] = service;
    configuration.rules["readings"] = RuleSpec {"readings", "readings", {{"app", "readings"}}, {}, {}};
    core.applyConfiguration(configuration);
    wire::Envelope announce;
    wire::TargetEntry *entry = announce.mutable_announce()->mutable_entry();
    entry->set_target(1);
    entry->set_incarnation(1);
    entry->set_sequence(1);
    entry->set_state(wire::SERVING);
    *entry->mutable_address() = toWire(sink);
    wire::Label *label = entry->add_labels();
    label->set_key("app");
    label->set_value("readings");
    core.handleMessage(Timestamp(1), sink, announce);
    for (int i = 0; i < Flows; ++i) {
        wire::Envelope owner;
        *owner.mutable_flow_owner()->mutable_flow() = toWire(flowOf(i));
        owner.mutable_flow_owner()->set_owner(1);
        owner.mutable_flow_owner()->set_owner_incarnation(1);
        *owner.mutable_flow_owner()->mutable_owner_address() = toWire(sink);
        core.handleMessage(Timestamp(1), sink, owner);
    }
    core.takeActions();
}

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

} // namespace

int main()
{
    UdpSocket entry = takeValue(UdpSocket::bound(loopback));
    UdpSocket relay = takeValue(UdpSocket::bound(loopback));
    // The sink is never read; its full buffer costs both paths the same.
    const UdpSocket sinkSocket = takeValue(UdpSocket::bound(loopback));
    const PeerAddress sink = sinkSocket.localAddress();
    BalancerCore core {BalancerSettings {}};
    prepare(core, sink);
    SealedTransport peers(takeValue(UdpSocket::bound(loopback)), DatagramSeal("0123456789abcdef", 1, Incarnation(1)));

    const auto bare = [&] {
        entry.receiveBatch(
            [&](const PeerAddress &, std::string_view packet) { relay.queue(sink, std::string(packet)); });
        relay.flush();
    };
    const auto balancer = [&] {
        entry.receiveBatch(
            [&](const PeerAddress &, std::string_view packet) { core.handlePacket(Timestamp(2), packet); });
        for (const BalancerSend &action : core.takeActions()) {
            peers.send(action.to, action.message);
        }
        peers.flush();
    };
    std::vector<double> shares;
    std::vector<double> cpuShares;
    for (int round = 0; round < Rounds; ++round) {
        const Result first = measure(entry, bare);
        const Result second = measure(entry, balancer);
        shares.push_back(second.packetsPerSecond / first.packetsPerSecond);
        cpuShares.push_back(first.cpuNanoseconds / second.cpuNanoseconds);
        std::cout << "round " << round << ": relay " << first.packetsPerSecond << " packets/s, " << first.cpuNanoseconds
                  << " ns; balancer " << second.packetsPerSecond << " packets/s, " << second.cpuNanoseconds << " ns\n";
    }
    std::cout << "balancer/relay, median of " << Rounds << ": packets/s " << median(shares) << ", by CPU time "
              << median(cpuShares) << std::endl;
    return EXIT_SUCCESS;
}
