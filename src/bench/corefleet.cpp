#include "agent/agentcore.h"
#include "balancer/balancercore.h"
#include "bench/fleet.h"

#include <map>
#include <utility>

namespace rhubarblane
{

namespace
{

constexpr std::int64_t TickUs = 10000;
// IPv4 and UDP headers, sender, incarnation, sequence and tag of the seal.
constexpr std::size_t DatagramOverhead = 28 + 40;

/** Real balancer and agent cores, with encoded messages between them. */
class CoreFleet : public Fleet
{
public:
    CoreFleet(BenchNetwork &network, FleetEvents events);
    void start() override;
    void packetAtBalancer(std::size_t balancer, const std::string &packet) override;
    void fromTarget(std::size_t target, const FlowTuple &flow, FlowNumber number, const std::string &packet) override;
    void targetClosed(std::size_t target, const FlowTuple &flow, FlowNumber number) override;
    void restartBalancer(std::size_t balancer) override;
    void stopBalancer(std::size_t balancer) override;
    void drainTarget(std::size_t target) override;
    void crashTarget(std::size_t target) override;

private:
    /** Clocks of different processes differ, so that a comparison between them shows up as a fault. */
    Timestamp balancerTime(std::size_t balancer) const;
    Timestamp agentTime(std::size_t target) const;
    void tick();
    void drain(BalancerCore &core, std::size_t balancer);
    void drain(AgentCore &core, std::size_t target);
    void
    send(int zone, bool fromBalancer, const PeerAddress &from, const PeerAddress &to, const wire::Envelope &message);
    void receive(const PeerAddress &from, const PeerAddress &to, const std::string &bytes);
    bool isDropped(const PeerAddress &from, const PeerAddress &to) const;

    BenchNetwork &network_;
    FleetEvents events_;
    Configuration configuration_;
    std::vector<std::unique_ptr<BalancerCore>> balancers_;
    std::vector<std::unique_ptr<AgentCore>> agents_;
    std::uint64_t incarnations_ = 0;
};

PeerAddress balancerAddress(std::size_t balancer)
{
    return PeerAddress {0x0a000000U + static_cast<std::uint32_t>(balancer), 7000};
}

PeerAddress agentAddress(std::size_t target)
{
    return PeerAddress {0x0a010000U + static_cast<std::uint32_t>(target), 7000};
}

bool isBalancer(const PeerAddress &address)
{
    return address.address < 0x0a010000U;
}

std::size_t indexOf(const PeerAddress &address)
{
    return address.address & 0xffffU;
}

CoreFleet::CoreFleet(BenchNetwork &network, FleetEvents events)
    : network_(network)
    , events_(std::move(events))
{
    configuration_.revision = Revision(1);
    const auto &services = network_.options.deployment->services;
    for (std::size_t i = 0; i < services.size(); ++i) {
        ServiceSpec spec;
        spec.name = services[i].name;
        spec.address = serviceAddressOf(i);
        spec.port = 443;
        spec.protocol = services[i].protocol;
        spec.atMostOnce = true;
        spec.idleTimeout = Milliseconds(20000);
        spec.silenceTimeout = Milliseconds(5000);
        configuration_.services[spec.name] = spec;
        RuleSpec rule;
        rule.name = spec.name;
        rule.service = spec.name;
        rule.labels["service"] = spec.name;
        configuration_.rules[rule.name] = rule;
    }
}

void CoreFleet::start()
{
    balancers_.resize(static_cast<std::size_t>(network_.options.balancers));
    for (std::size_t i = 0; i < balancers_.size(); ++i) {
        restartBalancer(i);
    }
    for (std::size_t i = 0; i < network_.targets.size(); ++i) {
        AgentSettings settings;
        settings.name = network_.targets[i].name;
        settings.incarnation = Incarnation(++incarnations_);
        settings.address = agentAddress(i);
        for (std::size_t balancer = 0; balancer < balancers_.size(); ++balancer) {
            settings.balancers.push_back(balancerAddress(balancer));
        }
        settings.availabilityZone = "az" + std::to_string(network_.targets[i].zone);
        settings.labels["service"] = network_.options.deployment->services[network_.targets[i].service].name;
        settings.slots = network_.options.deployment->slots;
        // All targets claim the same speed: the initial weights are wrong by up to 8-fold.
        settings.capacityMilli = 1000;
        settings.seed = network_.options.seed * 1000 + i;
        settings.placement = network_.options.placement;
        agents_.push_back(std::make_unique<AgentCore>(settings));
    }
    tick();
}

void CoreFleet::packetAtBalancer(std::size_t balancer, const std::string &packet)
{
    if (balancers_[balancer] != nullptr) {
        balancers_[balancer]->handlePacket(balancerTime(balancer), packet);
        drain(*balancers_[balancer], balancer);
    }
}

void CoreFleet::fromTarget(std::size_t target, const FlowTuple &flow, FlowNumber number, const std::string &packet)
{
    if (agents_[target] != nullptr) {
        agents_[target]->handleFromTarget(agentTime(target), flow, number, packet);
        drain(*agents_[target], target);
    }
}

void CoreFleet::targetClosed(std::size_t target, const FlowTuple &flow, FlowNumber number)
{
    if (agents_[target] != nullptr) {
        agents_[target]->handleTargetClosed(agentTime(target), flow, number);
        drain(*agents_[target], target);
    }
}

void CoreFleet::restartBalancer(std::size_t balancer)
{
    BalancerSettings settings;
    settings.name = "balancer" + std::to_string(balancer);
    settings.incarnation = Incarnation(++incarnations_);
    settings.address = balancerAddress(balancer);
    balancers_[balancer] = std::make_unique<BalancerCore>(settings);
    balancers_[balancer]->applyConfiguration(configuration_);
}

void CoreFleet::stopBalancer(std::size_t balancer)
{
    balancers_[balancer].reset();
}

void CoreFleet::drainTarget(std::size_t target)
{
    agents_[target]->beginDrain(agentTime(target), agentTime(target) + Milliseconds(600000));
    drain(*agents_[target], target);
}

void CoreFleet::crashTarget(std::size_t target)
{
    counters_.forwardedPlacements += agents_[target]->counters().forwardedPlacements;
    agents_[target].reset();
}

Timestamp CoreFleet::balancerTime(std::size_t balancer) const
{
    return Timestamp(network_.queue.now() / 1000 + 1000000 + static_cast<std::int64_t>(balancer) * 100000);
}

Timestamp CoreFleet::agentTime(std::size_t target) const
{
    return Timestamp(network_.queue.now() / 1000 + 5000000 + static_cast<std::int64_t>(target) * 100000);
}

void CoreFleet::tick()
{
    for (std::size_t i = 0; i < balancers_.size(); ++i) {
        if (balancers_[i] != nullptr) {
            balancers_[i]->tick(balancerTime(i));
            drain(*balancers_[i], i);
        }
    }
    counters_.forwardedPlacements = 0;
    for (std::size_t i = 0; i < agents_.size(); ++i) {
        if (agents_[i] != nullptr) {
            agents_[i]->tick(agentTime(i));
            drain(*agents_[i], i);
            counters_.forwardedPlacements += agents_[i]->counters().forwardedPlacements;
        }
    }
    network_.queue.after(TickUs, [this] { tick(); });
}

void CoreFleet::drain(BalancerCore &core, std::size_t balancer)
{
    for (const BalancerSend &action : core.takeActions()) {
        send(static_cast<int>(balancer) % 4, true, balancerAddress(balancer), action.to, action.message);
    }
}

void CoreFleet::drain(AgentCore &core, std::size_t target)
{
    const int zone = network_.targets[target].zone;
    std::vector<AgentAction> actions = core.takeActions();
    for (const AgentAction &action : actions) {
        if (const auto *message = std::get_if<SendMessage>(&action)) {
            send(zone, false, agentAddress(target), message->to, message->message);
        } else if (const auto *delivery = std::get_if<DeliverPacket>(&action)) {
            events_.deliver(target, delivery->flow, delivery->number, delivery->packet);
        } else if (const auto *answer = std::get_if<SendToCaller>(&action)) {
            events_.toCaller(zone, answer->packet);
        }
    }
}

void CoreFleet::send(
    int zone, bool fromBalancer, const PeerAddress &from, const PeerAddress &to, const wire::Envelope &message)
{
    std::string bytes = message.SerializeAsString();
    const std::size_t size = bytes.size() + DatagramOverhead;
    if ((fromBalancer || isBalancer(to)) && !message.has_forward()) {
        (message.has_flow_owner() ? counters_.flowOwnerBytes : counters_.controlBytes) += size;
    }
    if (isDropped(from, to)) {
        return;
    }
    const int toZone = isBalancer(to) ? static_cast<int>(indexOf(to)) % 4 : network_.targets[indexOf(to)].zone;
    network_.transfer(zone, toZone, [this, from, to, bytes = std::move(bytes)] { receive(from, to, bytes); });
}

void CoreFleet::receive(const PeerAddress &from, const PeerAddress &to, const std::string &bytes)
{
    wire::Envelope message;
    if (!message.ParseFromString(bytes)) {
        return;
    }
    const std::size_t index = indexOf(to);
    if (isBalancer(to)) {
        if (balancers_[index] != nullptr) {
            balancers_[index]->handleMessage(balancerTime(index), from, message);
            drain(*balancers_[index], index);
        }
    } else if (agents_[index] != nullptr) {
        agents_[index]->handleMessage(agentTime(index), from, message);
        drain(*agents_[index], index);
    }
}

bool CoreFleet::isDropped(const PeerAddress &from, const PeerAddress &to) const
{
    if (!network_.splitViews || isBalancer(from) || !isBalancer(to)) {
        return false;
    }
    return (indexOf(from) + indexOf(to)) % 2 == 0;
}

} // namespace

std::unique_ptr<Fleet> makeCoreFleet(BenchNetwork &network, FleetEvents events)
{
    return std::make_unique<CoreFleet>(network, std::move(events));
}

} // namespace rhubarblane
