#include "relay/flowindex.h"

#include "relay/flowretention.h"

#include <algorithm>
#include <utility>

namespace rhubarblane
{

namespace
{

// A round costs one request and one list per agent, so the interval grows with their number. Callers of lost flows wait
// for the reset up to one interval.
constexpr std::int64_t RoundMsPerAgent = 3;
constexpr Milliseconds MinimumRoundInterval(40);
// Callers repeat a packet after 200 ms and then twice as late each time; most of them give up after 1 s or more.
constexpr Milliseconds MaximumRoundInterval(500);
// A round trip between availability zones takes 3 ms; the rest allows for agents that wait for their CPU share.
constexpr Milliseconds ListTimeout(150);
// An agent that leaves this many requests unanswered is asked for each flow.
constexpr int MaximumUnanswered = 3;
// 1 KB, which every link carries in one datagram.
constexpr std::size_t FlowsPerPart = 128;
// 64 parts have 8,192 flows, four times the connections that a target accepts.
constexpr std::uint32_t MaximumParts = 64;

} // namespace

FlowIndex::Knowledge FlowIndex::find(const PeerAddress &agent, FlowHash flow, Timestamp seen) const
{
    const auto found = agents_.find(agent);
    if (found == agents_.end()) {
        return Knowledge::Unknown;
    }
    const Agent &known = found->second;
    if (known.flows.count(flow) > 0) {
        return Knowledge::Listed;
    }
    if (known.untracked || known.unanswered >= MaximumUnanswered) {
        return Knowledge::Untracked;
    }
    return known.complete && *known.complete >= seen ? Knowledge::Absent : Knowledge::Unknown;
}

std::optional<Timestamp> FlowIndex::completeAsOf(const PeerAddress &agent) const
{
    const auto found = agents_.find(agent);
    return found == agents_.end() ? std::nullopt : found->second.complete;
}

bool FlowIndex::sendsNoLists(const PeerAddress &agent) const
{
    const auto found = agents_.find(agent);
    return found != agents_.end() && found->second.unanswered >= MaximumUnanswered;
}

bool FlowIndex::isUntracked(const PeerAddress &agent) const
{
    const auto found = agents_.find(agent);
    return found != agents_.end() && found->second.untracked;
}

void FlowIndex::request(const PeerAddress &agent, GroupId group, Timestamp seen)
{
    Agent &known = agents_[agent];
    known.group = group;
    known.wanted = known.wanted || !known.request || known.request->sent < seen;
}

void FlowIndex::sendDue(Timestamp now, std::size_t agents, const Sender &send)
{
    for (auto &[address, agent] : agents_) {
        if (agent.request && now - agent.request->sent >= ListTimeout) {
            ++agent.unanswered;
            agent.wanted = agent.wanted || agent.unanswered < MaximumUnanswered;
            abandonRequest(agent);
        }
    }
    const Milliseconds interval = std::clamp(
        Milliseconds(static_cast<std::int64_t>(agents) * RoundMsPerAgent), MinimumRoundInterval, MaximumRoundInterval);
    for (auto &[address, agent] : agents_) {
        if (agent.wanted && !agent.request && now >= agent.nextRound) {
            sendRequest(now, address, agent, send);
            agent.nextRound = now + interval;
        }
    }
}

void FlowIndex::sendRequest(Timestamp now, const PeerAddress &address, Agent &agent, const Sender &send)
{
    const bool outdated = now - agent.begun >= FlowRetention;
    if (outdated || agent.list == 0) {
        // Flows that have ended leave the index only with a new list.
        agent.begun = now;
        agent.list = 0;
        agent.until = 0;
    }
    agent.wanted = false;
    agent.request = Request {++lastRequest_, now, 0, {}};
    ++outstanding_;
    wire::relay::FlowListRequest request;
    request.set_group(agent.group.value());
    request.set_list(agent.list);
    request.set_since(agent.until);
    request.set_request(lastRequest_);
    send(address, request);
}

void FlowIndex::abandonRequest(Agent &agent)
{
    if (agent.request) {
        agent.request.reset();
        --outstanding_;
    }
}

std::optional<std::vector<FlowHash>> FlowIndex::add(const PeerAddress &address, const wire::relay::FlowList &part)
{
    const auto found = agents_.find(address);
    if (found == agents_.end() || !found->second.request || found->second.request->id != part.request()) {
        return std::nullopt;
    }
    Agent &agent = found->second;
    Request &request = *agent.request;
    const bool wellFormed = part.parts() > 0 && part.parts() <= MaximumParts && part.part() < part.parts()
        && (request.parts == 0 || request.parts == part.parts());
    if (!wellFormed) {
        return std::nullopt;
    }
    request.parts = part.parts();
    std::vector<FlowHash> &flows = request.received[part.part()];
    flows.clear();
    for (const std::uint64_t flow : part.flows()) {
        flows.emplace_back(flow);
    }
    if (request.received.size() < request.parts) {
        return std::nullopt;
    }
    if (part.since() == 0 || part.list() != agent.list) {
        agent.flows.clear();
    }
    std::vector<FlowHash> told;
    for (const auto &[index, received] : request.received) {
        told.insert(told.end(), received.begin(), received.end());
    }
    agent.flows.insert(told.begin(), told.end());
    agent.list = part.list();
    agent.until = part.until();
    agent.untracked = part.untracked();
    agent.complete = request.sent;
    agent.unanswered = 0;
    abandonRequest(agent);
    return told;
}

void FlowIndex::erase(const PeerAddress &agent, FlowHash flow)
{
    const auto found = agents_.find(agent);
    if (found != agents_.end()) {
        found->second.flows.erase(flow);
    }
}

void FlowIndex::forget(const PeerAddress &agent)
{
    const auto found = agents_.find(agent);
    if (found != agents_.end()) {
        abandonRequest(found->second);
        agents_.erase(found);
    }
}

void FlowIndex::retain(const std::function<bool(const PeerAddress &agent)> &isKnown)
{
    for (auto agent = agents_.begin(); agent != agents_.end();) {
        if (isKnown(agent->first)) {
            ++agent;
            continue;
        }
        abandonRequest(agent->second);
        agent = agents_.erase(agent);
    }
}

std::size_t FlowIndex::size() const
{
    std::size_t flows = 0;
    for (const auto &[address, agent] : agents_) {
        flows += agent.flows.size();
    }
    return flows;
}

std::vector<wire::relay::FlowList> splitFlowList(const wire::relay::FlowList &head, const std::vector<FlowHash> &flows)
{
    const std::size_t count =
        std::clamp<std::size_t>((flows.size() + FlowsPerPart - 1) / FlowsPerPart, 1, MaximumParts);
    std::vector<wire::relay::FlowList> parts(count, head);
    const bool cutOff = flows.size() > count * FlowsPerPart;
    for (std::size_t part = 0; part < count; ++part) {
        parts[part].set_part(static_cast<std::uint32_t>(part));
        parts[part].set_parts(static_cast<std::uint32_t>(count));
        parts[part].set_untracked(head.untracked() || cutOff);
        const std::size_t end = std::min(flows.size(), (part + 1) * FlowsPerPart);
        for (std::size_t i = part * FlowsPerPart; i < end; ++i) {
            parts[part].add_flows(flows[i].value());
        }
    }
    return parts;
}

} // namespace rhubarblane
