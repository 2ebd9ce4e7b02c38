#include "bench/evenloadsimulation.h"

#include "bench/eventqueue.h"
#include "relay/flowplacement.h"
#include "relay/handon.h"
#include "relay/reportinterval.h"
#include "relay/requestmeter.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <random>

namespace rhubarblane
{

namespace
{

constexpr std::int64_t UsPerMs = 1000;
constexpr std::int64_t SameZoneDelayUs = 250;
constexpr std::int64_t CrossZoneDelayUs = 1500;
// The caller's request follows the answer to its opening packet.
constexpr std::int64_t RequestDelayUs = 6000;
constexpr std::int64_t RequestArrivalUs = 30000;
// Three percent of the requests take seven times as long.
constexpr double TailShare = 0.03;
constexpr double TailFactor = 7.0;
constexpr double SlowTargets = 0.25;
constexpr double SlowSpeed = 0.55;
constexpr double FastSpeed = 1.2;
constexpr std::int64_t ReportsPerSecond = 40;
constexpr std::int64_t WarmUpUs = 5000000;
constexpr std::size_t DatagramHeaders = 28;
constexpr std::size_t OpeningPacketBytes = 60;
constexpr std::int64_t WindowUs = 1000000;

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0.0;
    }
    const auto position = values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

struct SimulatedFlow {
    std::int64_t arrivalUs = 0;
    double workMs = 0.0;
    /** Sends further requests, each some time after the last answer. */
    bool isLong = false;
    OfferHistory history;
};
using FlowPointer = std::shared_ptr<SimulatedFlow>;

struct SimulatedBalancer {
    SimulatedBalancer(const Peer &peer, std::uint64_t seed)
        : self(peer)
        , targets(peer.availabilityZone)
        , placement(seed)
    {
    }
    Peer self;
    TargetDirectory targets;
    FlowPlacement placement;
};

struct SimulatedTarget {
    Peer agent;
    double speed = 1.0;
    RequestMeter meter;
    std::uint64_t sequence = 0;
    int generation = 0;
    std::int64_t readyAt = 0;
    std::uint32_t longFlows = 0;
    std::vector<std::pair<FlowPointer, std::int64_t>> expected;
    std::deque<std::pair<FlowPointer, std::int64_t>> queue;
    std::uint32_t running = 0;
    double busyUs = 0.0;
};

class EvenLoad
{
public:
    explicit EvenLoad(const EvenLoadOptions &options)
        : options_(options)
        , random_(options.seed)
    {
        for (int i = 0; i < options_.balancers; ++i) {
            balancers_.push_back(std::make_unique<SimulatedBalancer>(peer(PeerRole::Balancer, i), options_.seed + i));
        }
        for (int i = 0; i < options_.targets; ++i) {
            auto target = std::make_unique<SimulatedTarget>();
            target->agent = peer(PeerRole::Agent, i);
            target->speed = i < options_.targets * SlowTargets ? SlowSpeed : FastSpeed;
            target->meter.setSlots(options_.slots);
            capacity_ += options_.slots * target->speed / options_.meanServiceMs;
            targets_.push_back(std::move(target));
        }
    }

    EvenLoadResult run()
    {
        for (auto &target : targets_) {
            queue_.after(uniform(0, 250 * UsPerMs), [this, t = target.get()] { report(*t, true); });
            queue_.after(uniform(0, 250 * UsPerMs), [this, t = target.get()] { report(*t, false); });
        }
        queue_.after(300 * UsPerMs, [this] { arrive(); });
        queue_.after(WarmUpUs, [this] { closeWindow(); });
        if (options_.longFlowsPerTarget > 0) {
            queue_.after(options_.spanMs * UsPerMs / 2, [this] { restart(); });
        }
        queue_.runUntil(options_.spanMs * UsPerMs);
        result_.waitP50 = percentile(waits_, 0.5);
        result_.waitP99 = percentile(waits_, 0.99);
        result_.imbalanceP99 = percentile(shares_, 0.99);
        result_.queueP99 = percentile(queues_, 0.99);
        if (options_.longFlowsPerTarget > 0) {
            std::vector<double> shares;
            for (const auto &target : targets_) {
                const double speedShare = options_.slots * target->speed / options_.meanServiceMs / capacity_;
                shares.push_back(target->longFlows / (speedShare * options_.longFlowsPerTarget * options_.targets));
            }
            result_.mostLongFlows = *std::max_element(shares.begin(), shares.end());
            result_.fewestLongFlows = *std::min_element(shares.begin(), shares.end());
        }
        return result_;
    }

private:
    Peer peer(PeerRole role, int number) const
    {
        const std::uint32_t network = role == PeerRole::Agent ? 0x0b000000 : 0x0a000000;
        return {std::to_string(number),
                role,
                "zone-" + std::to_string(number % options_.zones),
                {network + static_cast<std::uint32_t>(number), 7720},
                1};
    }

    Timestamp now() const
    {
        return Timestamp(queue_.now() / UsPerMs);
    }

    std::int64_t uniform(std::int64_t from, std::int64_t to)
    {
        return std::uniform_int_distribution<std::int64_t>(from, to)(random_);
    }

    static std::int64_t delay(const Peer &a, const Peer &b)
    {
        return a.availabilityZone == b.availabilityZone ? SameZoneDelayUs : CrossZoneDelayUs;
    }

    SimulatedTarget &targetAt(const PeerAddress &address)
    {
        return *targets_[address.address - 0x0b000000];
    }

    void send(const Peer &from, const Peer &to, std::size_t bytes, EventQueue::Action action)
    {
        if (queue_.now() >= WarmUpUs) {
            ++result_.messages;
            result_.bytes += bytes + DatagramHeaders;
        }
        queue_.after(delay(from, to), std::move(action));
    }

    bool isReady(const SimulatedTarget &target) const
    {
        return queue_.now() >= target.readyAt;
    }

    wire::relay::Load load(SimulatedTarget &target)
    {
        wire::relay::Load load;
        load.set_sequence(++target.sequence);
        load.set_slots(target.meter.slots());
        load.set_busy(target.meter.busy());
        load.set_opening(static_cast<std::uint32_t>(target.expected.size()));
        load.set_open_flows(target.longFlows);
        load.set_service_time_us(static_cast<std::uint32_t>(target.meter.serviceTimeMs() * 1000));
        load.set_utilization(static_cast<std::uint32_t>(target.meter.utilization(now()) * 1000));
        load.set_state(static_cast<std::uint32_t>(isReady(target) ? TargetState::Ready : TargetState::Unknown));
        return load;
    }

    void report(SimulatedTarget &target, bool sameZone, bool repeat = true)
    {
        const std::int64_t spread = std::int64_t(options_.balancers) * 1000 / ReportsPerSecond;
        std::int64_t interval =
            std::clamp<std::int64_t>(spread, ShortestReportInterval.count(), LongestReportInterval.count());
        if (!sameZone && spread > LongestReportInterval.count()) {
            interval = LongestOtherZoneReportInterval.count();
        }
        wire::relay::Report report;
        report.mutable_agent()->set_name("agent-0000");
        report.mutable_agent()->set_agent(true);
        report.mutable_agent()->set_address(target.agent.address.address);
        report.mutable_agent()->set_port(target.agent.address.port);
        report.set_group("group");
        *report.mutable_load() = load(target);
        report.set_interval_ms(static_cast<std::uint32_t>(interval));
        for (auto &balancer : balancers_) {
            if ((balancer->self.availabilityZone == target.agent.availabilityZone) == sameZone) {
                send(target.agent, balancer->self, report.ByteSizeLong(), [this, b = balancer.get(), &target, report] {
                    queue_.after(options_.reportDelayMs * UsPerMs,
                                 [this, b, &target, report] { b->targets.report(now(), target.agent, report); });
                });
            }
        }
        if (repeat) {
            queue_.after(interval * UsPerMs, [this, &target, sameZone] { this->report(target, sameZone); });
        }
    }

    double drawWorkMs()
    {
        const double mean = options_.meanServiceMs / (1.0 + TailShare * (TailFactor - 1.0));
        return mean * std::uniform_real_distribution<double>(0.6, 1.4)(random_)
            * (std::bernoulli_distribution(TailShare)(random_) ? TailFactor : 1.0);
    }

    void openFlow(bool isLong)
    {
        auto flow = std::make_shared<SimulatedFlow>();
        flow->arrivalUs = queue_.now();
        flow->workMs = drawWorkMs();
        flow->isLong = isLong;
        result_.flows += queue_.now() >= WarmUpUs ? 1 : 0;
        offer(*balancers_[uniform(0, options_.balancers - 1)], flow);
    }

    void arrive()
    {
        openFlow(false);
        const double rate = capacity_ * options_.load / UsPerMs;
        queue_.after(std::llround(std::exponential_distribution<double>(rate)(random_)), [this] { arrive(); });
    }

    void offer(SimulatedBalancer &balancer, const FlowPointer &flow)
    {
        const auto next = balancer.placement.next(
            now(), balancer.targets.ofGroup(groupIdOf("group")), flow->history, Milliseconds(options_.acceptedWaitMs));
        if (std::holds_alternative<Refusal>(next)) {
            result_.refused += queue_.now() >= WarmUpUs ? 1 : 0;
            return;
        }
        Offer offer = std::get<Offer>(next);
        offer.candidates.resize(std::min(offer.candidates.size(), options_.candidates));
        flow->history.noteOffer(offer);
        balancer.targets.noteOffer(offer.agent);
        result_.offers += queue_.now() >= WarmUpUs ? 1 : 0;
        wire::relay::Forward forward;
        forward.set_group(groupIdOf("group").value());
        forward.set_accepted_wait_ms(static_cast<std::uint32_t>(offer.acceptedWait.count()));
        forward.set_packet(std::string(OpeningPacketBytes, 'x'));
        HandOn::setCandidates(forward, offer.candidates);
        SimulatedTarget &target = targetAt(offer.agent);
        send(balancer.self, target.agent, forward.ByteSizeLong(), [this, &balancer, &target, flow, forward] {
            receive(balancer, target, flow, forward);
        });
    }

    void
    receive(SimulatedBalancer &balancer, SimulatedTarget &target, const FlowPointer &flow, wire::relay::Forward forward)
    {
        const std::int64_t oldest = queue_.now() - RequestArrivalUs;
        while (!target.expected.empty() && target.expected.front().second < oldest) {
            target.expected.erase(target.expected.begin());
        }
        const auto opening = static_cast<std::uint32_t>(target.expected.size());
        const bool full = target.meter.busy() + opening >= options_.slots + QueueLimit;
        if (isReady(target) && !full && target.meter.expectedWait(opening) <= HandOn::acceptedWait(forward)) {
            target.expected.emplace_back(flow, queue_.now());
            target.longFlows += flow->isLong ? 1 : 0;
            wire::relay::FlowAnswer answer;
            answer.mutable_flow()->set_caller_address(0x0c000001);
            answer.mutable_flow()->set_caller_port(40000);
            answer.mutable_flow()->set_service_address(0x0d000001);
            answer.mutable_flow()->set_service_port(443);
            *answer.mutable_load() = load(target);
            send(target.agent, balancer.self, answer.ByteSizeLong(), [this, &balancer, &target, load = answer.load()] {
                balancer.targets.updateLoad(now(), target.agent.address, load);
            });
            queue_.after(RequestDelayUs, [this, &target, flow, g = target.generation] { request(target, flow, g); });
            return;
        }
        if (const std::optional<PeerAddress> next = HandOn::takeNext(forward, balancer.self.address)) {
            result_.handedOn += queue_.now() >= WarmUpUs ? 1 : 0;
            SimulatedTarget &other = targetAt(*next);
            send(target.agent, other.agent, forward.ByteSizeLong(), [this, &balancer, &other, flow, forward] {
                receive(balancer, other, flow, forward);
            });
            return;
        }
        wire::relay::Returned returned;
        returned.set_packet(forward.packet());
        *returned.mutable_load() = load(target);
        result_.returned += queue_.now() >= WarmUpUs ? 1 : 0;
        send(target.agent,
             balancer.self,
             returned.ByteSizeLong(),
             [this, &balancer, &target, flow, load = returned.load()] {
                 balancer.targets.updateLoad(now(), target.agent.address, load);
                 offer(balancer, flow);
             });
    }

    void request(SimulatedTarget &target, const FlowPointer &flow, int generation)
    {
        if (generation != target.generation) {
            return;
        }
        target.expected.erase(std::remove_if(target.expected.begin(),
                                             target.expected.end(),
                                             [&flow](const auto &entry) { return entry.first == flow; }),
                              target.expected.end());
        target.meter.start(now());
        if (queue_.now() >= WarmUpUs) {
            queues_.push_back(std::max(0.0, 1.0 * target.meter.busy() - options_.slots));
        }
        target.queue.emplace_back(flow, queue_.now());
        serve(target);
    }

    void serve(SimulatedTarget &target)
    {
        while (!target.queue.empty() && target.running < options_.slots) {
            const auto [flow, requested] = target.queue.front();
            target.queue.pop_front();
            ++target.running;
            const bool inSlot = requested == queue_.now();
            if (queue_.now() >= WarmUpUs) {
                waits_.push_back(static_cast<double>(queue_.now() - flow->arrivalUs - RequestDelayUs) / UsPerMs);
            }
            const std::int64_t span = std::llround(flow->workMs / target.speed * UsPerMs);
            queue_.after(span,
                         [this, &target, flow = flow, inSlot, requested = requested, span, g = target.generation] {
                             if (g != target.generation) {
                                 return;
                             }
                             --target.running;
                             target.busyUs += static_cast<double>(span);
                             target.meter.finish(now(), Timestamp(requested / UsPerMs), inSlot);
                             if (flow->isLong) {
                                 repeatRequest(target, flow);
                             }
                             serve(target);
                         });
        }
    }

    void repeatRequest(SimulatedTarget &target, const FlowPointer &flow)
    {
        const double rate =
            capacity_ * options_.longFlowLoad / (1.0 * options_.longFlowsPerTarget * options_.targets * UsPerMs);
        queue_.after(std::llround(std::exponential_distribution<double>(rate)(random_)),
                     [this, &target, flow, g = target.generation] {
                         flow->arrivalUs = queue_.now() - RequestDelayUs;
                         flow->workMs = drawWorkMs();
                         request(target, flow, g);
                     });
    }

    void restart()
    {
        for (auto &target : targets_) {
            ++target->generation;
            target->running = 0;
            target->queue.clear();
            target->expected.clear();
            target->meter.clear(now());
            target->readyAt = queue_.now() + uniform(0, 1000 * UsPerMs);
            queue_.after(target->readyAt - queue_.now(), [this, t = target.get()] { report(*t, true, false); });
            queue_.after(target->readyAt - queue_.now(), [this, t = target.get()] { report(*t, false, false); });
        }
        for (auto &balancer : balancers_) {
            balancer->targets = TargetDirectory(balancer->self.availabilityZone);
        }
        for (int i = 0; i < options_.longFlowsPerTarget * options_.targets; ++i) {
            queue_.after(uniform(0, 2000 * UsPerMs), [this] { openFlow(true); });
        }
    }

    void closeWindow()
    {
        double total = 0.0;
        for (const auto &target : targets_) {
            total += target->busyUs;
        }
        for (auto &target : targets_) {
            if (queue_.now() > WarmUpUs && total > 0.0) {
                shares_.push_back(target->busyUs * static_cast<double>(targets_.size()) / total);
            }
            target->busyUs = 0.0;
        }
        queue_.after(WindowUs, [this] { closeWindow(); });
    }

    EvenLoadOptions options_;
    std::mt19937_64 random_;
    EventQueue queue_;
    std::vector<std::unique_ptr<SimulatedBalancer>> balancers_;
    std::vector<std::unique_ptr<SimulatedTarget>> targets_;
    double capacity_ = 0.0;
    EvenLoadResult result_;
    std::vector<double> waits_;
    std::vector<double> shares_;
    std::vector<double> queues_;
};

} // namespace

EvenLoadResult simulateEvenLoad(const EvenLoadOptions &options)
{
    return EvenLoad(options).run();
}

} // namespace rhubarblane
