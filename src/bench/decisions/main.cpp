#include "balancer/balancercore.h"
#include "base/hash.h"

#include <benchmark/benchmark.h>

#include <memory>
#include <random>

using namespace rhubarblane;

namespace
{

// Services and targets of the design size, see docs/CAPACITY.md, and the number of flows in the flow cache.
constexpr std::uint32_t Services = 11000;
constexpr std::uint32_t Targets = 92000;
constexpr std::uint32_t CachedFlows = 500000;
constexpr std::uint32_t ServiceBase = 0x0a000000;

FlowTuple flowOf(std::uint64_t number)
{
    const std::uint64_t mixed = hashPair(number, 1);
    FlowTuple flow;
    flow.callerAddress = static_cast<std::uint32_t>(mixed);
    flow.callerPort = static_cast<std::uint16_t>(mixed >> 32);
    flow.serviceAddress = ServiceBase + static_cast<std::uint32_t>(hashPair(number, 2) % Services);
    flow.servicePort = 443;
    return flow;
}

wire::TargetEntry entryOf(std::uint32_t number)
{
    wire::TargetEntry entry;
    const std::string name = "target" + std::to_string(number);
    entry.set_target(targetIdOf(name).value());
    entry.set_incarnation(1);
    entry.set_sequence(1);
    entry.set_name(name);
    entry.mutable_address()->set_address(0x0b000000 + number);
    entry.mutable_address()->set_port(7000);
    entry.set_client("client" + std::to_string(number % Services));
    entry.set_state(wire::SERVING);
    return entry;
}

Configuration makeConfiguration(std::uint32_t services)
{
    Configuration configuration;
    configuration.revision = Revision(1);
    for (std::uint32_t i = 0; i < services; ++i) {
        ServiceSpec service;
        service.name = "service" + std::to_string(i);
        service.address = ServiceBase + i;
        service.port = 443;
        configuration.services[service.name] = service;
        RuleSpec rule;
        rule.name = service.name;
        rule.service = service.name;
        rule.client = "client" + std::to_string(i);
        configuration.rules[rule.name] = rule;
    }
    return configuration;
}

/** Returns a balancer core at the design size, which is built once. */
BalancerCore &designSizeCore()
{
    static const std::unique_ptr<BalancerCore> core = [] {
        auto result = std::make_unique<BalancerCore>(BalancerSettings {});
        result->applyConfiguration(makeConfiguration(Services));
        for (std::uint32_t i = 0; i < Targets; ++i) {
            result->mergeTarget(Timestamp(0), entryOf(i));
        }
        wire::Envelope envelope;
        for (std::uint32_t i = 0; i < CachedFlows; ++i) {
            const wire::TargetEntry owner = entryOf(i % Targets);
            wire::FlowOwner *message = envelope.mutable_flow_owner();
            *message->mutable_flow() = toWire(flowOf(i));
            message->set_owner(owner.target());
            message->set_owner_incarnation(1);
            *message->mutable_owner_address() = owner.address();
            result->handleMessage(Timestamp(0), PeerAddress {}, envelope);
        }
        return result;
    }();
    return *core;
}

std::vector<FlowTuple> sampleFlows(std::uint64_t from, std::uint64_t to)
{
    std::mt19937_64 random(1);
    std::uniform_int_distribution<std::uint64_t> number(from, to);
    std::vector<FlowTuple> flows;
    constexpr int SampleCount = 65536;
    flows.reserve(SampleCount);
    for (int i = 0; i < SampleCount; ++i) {
        flows.push_back(flowOf(number(random)));
    }
    return flows;
}

void decide(benchmark::State &state, const std::vector<FlowTuple> &flows)
{
    BalancerCore &core = designSizeCore();
    std::size_t next = 0;
    for ([[maybe_unused]] auto iteration : state) {
        benchmark::DoNotOptimize(core.route(flows[next++ % flows.size()]));
    }
}

void decideCachedFlow(benchmark::State &state)
{
    decide(state, sampleFlows(0, CachedFlows - 1));
    state.counters["cached_flows"] = static_cast<double>(designSizeCore().cachedFlows());
    state.counters["bytes_per_cached_flow"] =
        static_cast<double>(designSizeCore().cacheBytes()) / static_cast<double>(designSizeCore().cachedFlows());
}

void decideNewFlow(benchmark::State &state)
{
    decide(state, sampleFlows(1000000000, 2000000000));
}

/** Measures the full path of a packet: parsing, decision and the message to the agent. */
void handleCachedPacket(benchmark::State &state)
{
    BalancerCore &core = designSizeCore();
    std::vector<std::string> packets;
    for (const FlowTuple &flow : sampleFlows(0, CachedFlows - 1)) {
        packets.push_back(buildUdpRequest(flow, std::string(64, 'x')));
    }
    std::size_t next = 0;
    for ([[maybe_unused]] auto iteration : state) {
        core.handlePacket(Timestamp(0), packets[next++ % packets.size()]);
        benchmark::DoNotOptimize(core.takeActions());
    }
}

BENCHMARK(decideCachedFlow);
BENCHMARK(decideNewFlow);
BENCHMARK(handleCachedPacket);

} // namespace

BENCHMARK_MAIN();
