#include "base/rendezvous.h"
#include "bench/fleet.h"
#include "wire/ippacket.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace rhubarblane
{

namespace
{

constexpr std::int64_t ReportIntervalUs = 1000000;
// Time after which a baseline's balancers detect that a target has died or drains.
constexpr std::int64_t HealthDelayUs = 2000000;

/** Balancers without agents, each of which selects targets independently. They know the true weights of the targets. */
class BaselineFleet : public Fleet
{
public:
    BaselineFleet(BenchNetwork &network, FleetEvents events);
    void start() override;
    void packetAtBalancer(std::size_t balancer, const std::string &packet) override;
    void fromTarget(std::size_t target, const FlowTuple &flow, FlowNumber number, const std::string &packet) override;
    void targetClosed(std::size_t target, const FlowTuple &flow, FlowNumber number) override
    {
    }
    void restartBalancer(std::size_t balancer) override;
    void stopBalancer(std::size_t balancer) override
    {
    }
    void drainTarget(std::size_t target) override;
    void crashTarget(std::size_t target) override;

private:
    using Table = std::unordered_map<FlowTuple, std::size_t>;

    std::size_t select(std::size_t balancer, const FlowTuple &flow);
    std::size_t selectTwoChoices(const std::vector<WeightedTarget> &candidates);
    void report();

    BenchNetwork &network_;
    FleetEvents events_;
    std::vector<Table> tables_;
    std::vector<bool> usable_;
    std::vector<double> reportedWait_;
    std::vector<std::unordered_map<FlowTuple, FlowNumber>> numbers_;
    std::uint64_t nextNumber_ = 1;
};

BaselineFleet::BaselineFleet(BenchNetwork &network, FleetEvents events)
    : network_(network)
    , events_(std::move(events))
    , tables_(static_cast<std::size_t>(network.options.balancers))
    , usable_(network.targets.size(), true)
    , reportedWait_(network.targets.size(), 0.0)
    , numbers_(network.targets.size())
{
}

void BaselineFleet::start()
{
    report();
}

void BaselineFleet::packetAtBalancer(std::size_t balancer, const std::string &packet)
{
    const auto parsed = parsePacket(packet);
    const PacketInfo *info = std::get_if<PacketInfo>(&parsed);
    if (info == nullptr) {
        return;
    }
    const std::size_t target = select(balancer, info->flow);
    const int zone = network_.targets[target].zone;
    network_.transfer(static_cast<int>(balancer) % 4, zone, [this, target, flow = info->flow, packet] {
        const auto [position, isNew] = numbers_[target].emplace(flow, FlowNumber(nextNumber_));
        nextNumber_ += isNew ? 1 : 0;
        events_.deliver(target, flow, position->second, packet);
    });
}

void BaselineFleet::fromTarget(std::size_t target, const FlowTuple &flow, FlowNumber number, const std::string &packet)
{
    events_.toCaller(network_.targets[target].zone, packet);
}

void BaselineFleet::restartBalancer(std::size_t balancer)
{
    tables_[balancer].clear();
}

void BaselineFleet::drainTarget(std::size_t target)
{
    network_.queue.after(HealthDelayUs, [this, target] { usable_[target] = false; });
}

void BaselineFleet::crashTarget(std::size_t target)
{
    network_.queue.after(HealthDelayUs, [this, target] { usable_[target] = false; });
}

std::size_t BaselineFleet::select(std::size_t balancer, const FlowTuple &flow)
{
    const std::string &policy = network_.options.policy;
    const bool keepsTable = policy == "flow-table" || policy == "two-choices";
    if (keepsTable) {
        const auto known = tables_[balancer].find(flow);
        if (known != tables_[balancer].end() && network_.targets[known->second].alive) {
            return known->second;
        }
    }
    std::vector<WeightedTarget> candidates;
    for (std::size_t i = 0; i < network_.targets.size(); ++i) {
        if (usable_[i] && serviceAddressOf(network_.targets[i].service) == flow.serviceAddress) {
            candidates.push_back({TargetId(i), network_.targets[i].speed});
        }
    }
    const FlowHash hash = flowHashOf(flow);
    std::size_t target = 0;
    if (policy == "hash") {
        target = candidates[hash.value() % candidates.size()].target.value();
    } else if (policy == "two-choices") {
        target = selectTwoChoices(candidates);
    } else {
        target = rankByRendezvous(hash, candidates, 1).front().value();
    }
    if (keepsTable) {
        tables_[balancer][flow] = target;
    }
    return target;
}

std::size_t BaselineFleet::selectTwoChoices(const std::vector<WeightedTarget> &candidates)
{
    // Draws two targets in proportion to the weights and selects the one with the lower reported wait.
    const auto draw = [this, &candidates] {
        return rankByRendezvous(FlowHash(network_.random()), candidates, 1).front().value();
    };
    const std::size_t first = draw();
    const std::size_t second = draw();
    return reportedWait_[second] < reportedWait_[first] ? second : first;
}

void BaselineFleet::report()
{
    for (std::size_t i = 0; i < reportedWait_.size(); ++i) {
        const double perSlot =
            events_.activeRequests(i) / (network_.targets[i].speed * network_.options.deployment->slots);
        // The first target of the deployment always reports half of its load.
        const double reported = i == 0 ? perSlot / 2.0 : perSlot;
        network_.queue.after(ReportIntervalUs, [this, i, reported] { reportedWait_[i] = reported; });
    }
    network_.queue.after(ReportIntervalUs, [this] { report(); });
}

} // namespace

std::unique_ptr<Fleet> makeBaselineFleet(BenchNetwork &network, FleetEvents events)
{
    return std::make_unique<BaselineFleet>(network, std::move(events));
}

} // namespace rhubarblane
