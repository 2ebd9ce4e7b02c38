#include "relay/flowfinder.h"

#include "relay/relayflow.h"

#include <algorithm>
#include <string>
#include <vector>

namespace rhubarblane
{

namespace
{

// More than a caller sends on one flow within the seconds for which an opening packet can be late.
constexpr std::uint32_t MaximumCallerBytes = 1U << 24;

} // namespace

FlowFinder::FlowFinder(RelayBalancerContext &context)
    : context_(context)
    , coverage_(context.started, context.settings.self.incarnation)
{
}

void FlowFinder::search(Timestamp now,
                        const RelayedService &service,
                        const RelayPacket &head,
                        std::string_view packet,
                        const PeerAddress &except)
{
    FlowSearch *pending = searches_.find(head.flow);
    if (pending != nullptr && !FlowSearches::isOverdue(now, *pending)) {
        FlowSearches::addPacket(*pending, head, packet);
        return;
    }
    if (pending == nullptr && searches_.isFull()) {
        ++context_.counters.droppedNoFlow;
        return;
    }
    searches_.start(now, head, packet);
    askAgents(now, service, head.flow, except);
}

void FlowFinder::askAgents(Timestamp now,
                           const RelayedService &service,
                           const FlowTuple &tuple,
                           const PeerAddress &except)
{
    FlowSearch &search = *searches_.find(tuple);
    search.undecided = false;
    search.coversAllAgents = mayProveLoss(now, service);
    bool anyAgent = false;
    wire::relay::Message message;
    *message.mutable_flow_query()->mutable_flow() = toRelayFlow(tuple);
    for (const WeightedGroup &group : service.groups) {
        message.mutable_flow_query()->set_group(group.id.value());
        for (const KnownTarget *target : context_.targets.ofGroup(group.id)) {
            anyAgent = true;
            const PeerAddress &agent = target->agent.address;
            if (agent == except) {
                continue;
            }
            if (!context_.isSilent(now, *target)) {
                search.unanswered.insert(agent);
            }
            context_.output.sendToPeer(agent, message);
        }
    }
    if (!anyAgent) {
        FlowSearches::markUndecided(search);
        return;
    }
    ++context_.counters.searches;
    resetIfLost(tuple);
}

void FlowFinder::onTick(Timestamp now)
{
    const std::vector<FlowTuple> undecided = searches_.undecided();
    if (undecided.empty() || !context_.table) {
        return;
    }
    for (const FlowTuple &tuple : undecided) {
        const RelayedService *service = context_.table->find(tuple);
        if (service == nullptr) {
            searches_.erase(tuple);
        } else if (mayProveLoss(now, *service)) {
            askAgents(now, *service, tuple, PeerAddress());
        }
    }
}

void FlowFinder::resetIfLost(const FlowTuple &tuple)
{
    FlowSearch *search = searches_.find(tuple);
    if (search == nullptr || !search->unanswered.empty()) {
        return;
    }
    const RelayPacket head = search->head;
    const bool certain = search->coversAllAgents;
    context_.output.logDecision("flowLost",
                                {{"flow", formatFlowTuple(tuple)},
                                 {"targets", std::to_string(context_.targets.size())},
                                 {"outcome", certain ? "reset" : "undecided"}});
    if (!certain) {
        FlowSearches::markUndecided(*search);
        return;
    }
    searches_.erase(tuple);
    if (!head.reset) {
        ++context_.counters.flowsLost;
        context_.resetCaller(head);
    }
}

void FlowFinder::handleDenial(Timestamp now, const PeerAddress &agent, const FlowTuple &tuple, FlowPresence presence)
{
    FlowSearch *search = searches_.find(tuple);
    if (search == nullptr) {
        return;
    }
    const KnownTarget *target = context_.targets.find(agent);
    if (presence == FlowPresence::Uncertain && target != nullptr) {
        // The target's answer to a packet of the flow shows whether it holds the flow.
        context_.forward(agent, target->group, ForwardMode::Search, Milliseconds(0), search->packets.front());
        return;
    }
    search->unanswered.erase(agent);
    resetIfLost(tuple);
}

void FlowFinder::cancelEarlierFlow(const RelayPacket &opening)
{
    const FlowSearch *search = searches_.find(opening.flow);
    // Packets of the opening packet's own flow, which it can arrive after, have slightly higher sequence numbers.
    if (search != nullptr && search->head.sequence - opening.sequence > MaximumCallerBytes) {
        searches_.erase(opening.flow);
    }
}

void FlowFinder::finish(const FlowTuple &tuple)
{
    const BalancerFlow *flow = context_.flows.find(tuple);
    const FlowSearch *search = searches_.find(tuple);
    if (flow != nullptr && context_.ownerOf(*flow) != nullptr && search != nullptr) {
        for (const std::string &packet : search->packets) {
            ++context_.counters.forwarded;
            context_.forward(flow->owner, flow->group, ForwardMode::Known, Milliseconds(0), packet);
        }
    }
    searches_.erase(tuple);
}

bool FlowFinder::mayProveLoss(Timestamp now, const RelayedService &service) const
{
    if (!coverage_.isComplete(now, context_.peers.directory(), context_.targets)) {
        return false;
    }
    // An agent that is only silent, or has expired, may have left beside a target that still runs.
    return std::all_of(service.groups.begin(), service.groups.end(), [&](const WeightedGroup &group) {
        const std::vector<const KnownTarget *> targets = context_.targets.ofGroup(group.id);
        return !context_.targets.mayHaveVanished(now, group.id)
            && std::none_of(targets.begin(), targets.end(), [&](const KnownTarget *target) {
                   return context_.isSilent(now, *target);
               });
    });
}

} // namespace rhubarblane
