#include "relay/flowfinder.h"

#include "relay/relayflow.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace rhubarblane
{

namespace
{

// More than a caller sends on one flow within the seconds for which an opening packet can be late.
constexpr std::uint32_t MaximumCallerBytes = 1U << 24;
// A round trip between availability zones takes 3 ms; the rest allows for agents that wait for their CPU share.
constexpr Milliseconds AnswerTimeout(60);
// A target answers its agent within some milliseconds. After a restart of all agents beside running targets each search
// has a probe for each agent, so probes are repeated only when the caller sends its packet again.
constexpr Milliseconds ProbeTimeout(180);
// Longer than a round of list requests with a repetition. Callers retransmit a packet after at most 1.6 s.
constexpr Milliseconds SearchPeriod(1000);
// Agents of the service that run have answered by then, also if one message was lost.
constexpr Milliseconds WideningDelay(200);

template<typename Range, typename Condition>
bool anyOf(const Range &range, Condition condition)
{
    return std::any_of(std::begin(range), std::end(range), condition);
}

std::string joinGroupNames(const RelayedService &service)
{
    std::string result;
    for (const WeightedGroup &group : service.groups) {
        result += (result.empty() ? "" : ",") + group.name;
    }
    return result;
}

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
    FlowSearch *search = searches_.find(head.flow);
    if (search == nullptr && searches_.isFull()) {
        ++context_.counters.droppedNoFlow;
        return;
    }
    if (search != nullptr && !search->undecided && now - search->started < SearchPeriod) {
        FlowSearches::addPacket(*search, head, packet);
    } else {
        // Denials of an old search may concern an earlier flow of the port.
        ++context_.counters.searches;
        search = &searches_.start(now, head, packet);
    }
    if (except.port != 0) {
        search->denied.insert(except);
        index_.erase(except, flowHashOf(head.flow));
    }
    evaluate(now, service, head.flow, true);
    sendListRequests(now);
}

FlowFinder::Targets FlowFinder::targetsOf(const RelayedService &service) const
{
    Targets result;
    for (const WeightedGroup &group : service.groups) {
        const Targets targets = context_.targets.ofGroup(group.id);
        result.insert(result.end(), targets.begin(), targets.end());
    }
    return result;
}

FlowFinder::Targets FlowFinder::otherTargets(Timestamp now, const RelayedService &service) const
{
    Targets result;
    for (const auto &[address, target] : context_.targets.all()) {
        const bool responds = TargetDirectory::isReporting(now, target) && !index_.sendsNoLists(address);
        const bool answersItself = responds && !index_.isUntracked(address);
        const bool mayHoldFlow = (responds || target.hasRun) && history_.mayHoldFlows(now, service, target.group);
        if (!service.hasGroup(target.group) && (answersItself || mayHoldFlow)) {
            result.push_back(&target);
        }
    }
    return result;
}

void FlowFinder::evaluate(Timestamp now, const RelayedService &service, const FlowTuple &tuple, bool packetArrived)
{
    FlowSearch &search = *searches_.find(tuple);
    search.nextEvaluation = now + AnswerTimeout;
    const Targets own = targetsOf(service);
    const bool deniedByOwn = askAgents(now, search, own, true, packetArrived);
    bool denied = deniedByOwn;
    // An agent of the service that does not answer must not prevent that the owner is found.
    if (!search.widened && (deniedByOwn || now - search.started >= WideningDelay)) {
        search.widened = true;
        search.evaluatedAsOf = Timestamp();
    }
    if (search.widened) {
        // Targets of other groups get the packet only if the caller would be reset otherwise. Without that, the flow
        // stays undecided.
        const bool mayProbe = deniedByOwn && mayProveLoss(now, service);
        denied = askAgents(now, search, otherTargets(now, service), mayProbe, packetArrived) && deniedByOwn;
    }
    if (!denied) {
        search.undecided = false;
    } else if (!own.empty()) {
        conclude(now, service, search);
    } else {
        FlowSearches::markUndecided(search);
    }
}

bool FlowFinder::askAgents(Timestamp now, FlowSearch &search, const Targets &targets, bool mayProbe, bool packetArrived)
{
    const FlowHash hash = flowHashOf(search.head.flow);
    bool denied = true;
    for (const KnownTarget *target : targets) {
        const PeerAddress &agent = target->agent.address;
        if (search.denied.count(agent) > 0) {
            continue;
        }
        const FlowIndex::Knowledge knowledge = index_.find(agent, hash, search.started);
        if (knowledge == FlowIndex::Knowledge::Absent) {
            continue;
        }
        if (index_.completeAsOf(agent) < search.started) {
            index_.request(agent, target->group, search.started);
        }
        if (knowledge == FlowIndex::Knowledge::Untracked && !mayProbe) {
            continue;
        }
        denied = false;
        if (knowledge == FlowIndex::Knowledge::Listed) {
            ask(now, search, agent, target->group);
        } else if (knowledge == FlowIndex::Knowledge::Untracked) {
            probe(now, search, agent, target->group, packetArrived);
        }
    }
    return denied;
}

void FlowFinder::ask(Timestamp now, FlowSearch &search, const PeerAddress &agent, GroupId group)
{
    const auto [position, first] = search.asked.try_emplace(agent, now);
    if (!first && now - position->second < AnswerTimeout) {
        return;
    }
    position->second = now;
    ++context_.counters.flowQueries;
    wire::relay::Message message;
    message.mutable_flow_query()->set_group(group.value());
    *message.mutable_flow_query()->mutable_flow() = toRelayFlow(search.head.flow);
    context_.output.sendToPeer(agent, message);
}

void FlowFinder::probe(Timestamp now, FlowSearch &search, const PeerAddress &agent, GroupId group, bool packetArrived)
{
    const auto asked = search.asked.find(agent);
    const bool repeat = asked == search.asked.end() || (packetArrived && now - asked->second >= ProbeTimeout);
    if (!repeat) {
        return;
    }
    if (index_.sendsNoLists(agent)) {
        search.asked.erase(agent);
        ask(now, search, agent, group);
        return;
    }
    search.asked[agent] = now;
    ++context_.counters.flowQueries;
    context_.forward(agent, group, ForwardMode::Search, Milliseconds(0), search.packets.front());
}

void FlowFinder::conclude(Timestamp now, const RelayedService &service, FlowSearch &search)
{
    const bool certain = mayProveLoss(now, service);
    if (!certain && search.undecided) {
        return;
    }
    const RelayPacket head = search.head;
    const PeerDirectory &peers = context_.peers.directory();
    context_.output.logDecision(
        "flowLost",
        {{"flow", formatFlowTuple(head.flow)},
         {"table", std::to_string(context_.table->version.value())},
         {"groups", joinGroupNames(service)},
         {"targets", std::to_string(context_.targets.size())},
         {"agentsListed", std::to_string(peers.withRole(PeerRole::Agent).size())},
         {"sinceStartMs", std::to_string((now - context_.started).count())},
         {"storeReadAfterMs", std::to_string(coverage_.firstReadDelay().value_or(Milliseconds(-1)).count())},
         {"leases", coverage_.leaseHistory() == LeaseHistory::Kept ? "kept" : "unknown"},
         {"discoveryMs", std::to_string(coverage_.discoveryPeriod(peers).count())},
         {"asked", std::to_string(search.asked.size())},
         {"searchedMs", std::to_string((now - search.started).count())},
         {"outcome", certain ? "reset" : "undecided"}});
    if (!certain) {
        FlowSearches::markUndecided(search);
        return;
    }
    searches_.erase(head.flow);
    if (!head.reset) {
        ++context_.counters.flowsLost;
        context_.resetCaller(head);
    }
}

void FlowFinder::onTick(Timestamp now)
{
    sendListRequests(now);
    evaluateCovered(now);
}

void FlowFinder::expire(Timestamp now)
{
    searches_.expire(now);
    index_.retain([this](const PeerAddress &agent) { return context_.targets.find(agent) != nullptr; });
}

void FlowFinder::evaluateCovered(Timestamp now)
{
    if (searches_.size() == 0 || !context_.table) {
        return;
    }
    struct ServiceState {
        std::optional<Timestamp> completeAsOf;
        std::optional<Timestamp> widenedCompleteAsOf;
        bool mayProveLoss = false;

        std::optional<Timestamp> completeFor(const FlowSearch &search) const
        {
            return search.widened ? widenedCompleteAsOf : completeAsOf;
        }
    };
    std::map<const RelayedService *, ServiceState> states;
    const auto isReady = [&](const FlowSearch &search) {
        const RelayedService *service = context_.table->find(search.head.flow);
        if (service == nullptr) {
            return true;
        }
        const auto [state, first] = states.try_emplace(service);
        if (first) {
            Targets targets = targetsOf(*service);
            state->second.completeAsOf = completeAsOf(targets);
            const Targets others = otherTargets(now, *service);
            targets.insert(targets.end(), others.begin(), others.end());
            state->second.widenedCompleteAsOf = completeAsOf(targets);
            state->second.mayProveLoss = mayProveLoss(now, *service);
        }
        if (search.undecided) {
            return state->second.mayProveLoss;
        }
        const std::optional<Timestamp> complete = state->second.completeFor(search);
        return complete >= search.started && (complete > search.evaluatedAsOf || now >= search.nextEvaluation);
    };
    for (const FlowTuple &tuple : searches_.matching(isReady)) {
        const RelayedService *service = context_.table->find(tuple);
        if (service == nullptr) {
            searches_.erase(tuple);
        } else {
            FlowSearch &search = *searches_.find(tuple);
            search.evaluatedAsOf = states[service].completeFor(search).value_or(Timestamp());
            evaluate(now, *service, tuple, false);
        }
    }
    sendListRequests(now);
}

std::optional<Timestamp> FlowFinder::completeAsOf(const Targets &targets) const
{
    std::optional<Timestamp> earliest;
    for (const KnownTarget *target : targets) {
        const PeerAddress &agent = target->agent.address;
        if (index_.sendsNoLists(agent)) {
            continue;
        }
        const std::optional<Timestamp> complete = index_.completeAsOf(agent);
        if (!complete) {
            return std::nullopt;
        }
        earliest = std::min(earliest.value_or(*complete), *complete);
    }
    return earliest;
}

void FlowFinder::sendListRequests(Timestamp now)
{
    index_.sendDue(
        now, context_.targets.size(), [this](const PeerAddress &agent, const wire::relay::FlowListRequest &request) {
            ++context_.counters.flowListRequests;
            wire::relay::Message message;
            *message.mutable_flow_list_request() = request;
            context_.output.sendToPeer(agent, message);
        });
}

void FlowFinder::handleList(Timestamp now, const PeerAddress &agent, const wire::relay::FlowList &part)
{
    const std::optional<std::vector<FlowHash>> told = index_.add(agent, part);
    const KnownTarget *target = context_.targets.find(agent);
    if (!told || target == nullptr) {
        return;
    }
    ++context_.counters.flowLists;
    if (!told->empty()) {
        const std::unordered_set<FlowHash> listed(told->begin(), told->end());
        const auto isListed = [&listed](const FlowSearch &search) {
            return listed.count(flowHashOf(search.head.flow)) > 0;
        };
        for (const FlowTuple &tuple : searches_.matching(isListed)) {
            ask(now, *searches_.find(tuple), agent, target->group);
        }
    }
    if (index_.isIdle()) {
        evaluateCovered(now);
    }
}

void FlowFinder::handleDenial(Timestamp now, const PeerAddress &agent, const FlowTuple &tuple, FlowPresence presence)
{
    FlowSearch *search = searches_.find(tuple);
    const KnownTarget *target = context_.targets.find(agent);
    if (presence == FlowPresence::Uncertain) {
        if (search != nullptr && target != nullptr) {
            // The target's answer to a packet of the flow shows whether it holds the flow.
            context_.forward(agent, target->group, ForwardMode::Search, Milliseconds(0), search->packets.front());
        }
        return;
    }
    index_.erase(agent, flowHashOf(tuple));
    const RelayedService *service = context_.table ? context_.table->find(tuple) : nullptr;
    if (search != nullptr && service != nullptr) {
        search->denied.insert(agent);
        evaluate(now, *service, tuple, false);
    }
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
    const auto mayHoldFlows = [&](GroupId group) { return history_.mayHoldFlows(now, service, group); };
    const bool anyVanished =
        anyOf(service.groups,
              [&](const WeightedGroup &group) { return context_.targets.mayHaveVanished(now, group.id); })
        || anyOf(context_.targets.groupsOfVanishedTargets(now), mayHoldFlows);
    return !anyVanished && !anyOf(context_.targets.all(), [&](const auto &entry) {
        const KnownTarget &target = entry.second;
        const bool mayHold = service.hasGroup(target.group) || (target.hasRun && mayHoldFlows(target.group));
        return mayHold && context_.isSilent(now, target);
    });
}

} // namespace rhubarblane
