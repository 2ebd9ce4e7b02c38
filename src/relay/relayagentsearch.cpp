// The part of RelayAgent that tells balancers which flows its target holds.
#include "relay/flowindex.h"
#include "relay/flowretention.h"
#include "relay/relayagent.h"
#include "relay/relayflow.h"

#include <utility>

namespace rhubarblane
{

void RelayAgent::probe(Timestamp now, const FlowTuple &tuple)
{
    flows_.touch(now, tuple).probed = true;
}

void RelayAgent::handleSearch(Timestamp now,
                              const PeerAddress &from,
                              const wire::relay::Forward &forward,
                              const RelayPacket &head)
{
    const FlowPresence presence = presenceOf(now, head.flow);
    if (presence == FlowPresence::Absent) {
        answerFlow(now, from, head.flow, presence);
        return;
    }
    ++counters_.searchesDelivered;
    if (flows_.find(head.flow) == nullptr) {
        probe(now, head.flow);
    } else if (presence == FlowPresence::Held) {
        answerFlow(now, from, head.flow, presence);
    }
    if (!holdPacket(now, from, forward, head)) {
        deliver(now, from, forward.packet(), head, static_cast<std::uint32_t>(ForwardMode::Search));
    }
}

void RelayAgent::handleFlowQuery(Timestamp now, const PeerAddress &from, const wire::relay::FlowQuery &query)
{
    const FlowTuple tuple = fromRelayFlow(query.flow());
    const bool sameGroup = GroupId(query.group()) == group_;
    const FlowPresence presence = sameGroup ? presenceOf(now, tuple) : FlowPresence::Absent;
    if (presence == FlowPresence::Held) {
        flows_.touch(now, tuple).balancer = from;
    }
    answerFlow(now, from, tuple, presence);
}

void RelayAgent::handleFlowListRequest(Timestamp now,
                                       const PeerAddress &from,
                                       const wire::relay::FlowListRequest &request)
{
    ++counters_.flowListsSent;
    wire::relay::FlowList head;
    head.set_request(request.request());
    head.set_list(listId_);
    std::vector<FlowHash> flows;
    if (GroupId(request.group()) == group_) {
        head.set_since(request.list() == listId_ ? request.since() : 0);
        head.set_until(flows_.lastNumber());
        head.set_untracked(mayHoldUntrackedFlows(now));
        flows = flows_.recordedSince(head.since());
    } else {
        head.set_wrong_group(true);
    }
    for (wire::relay::FlowList &part : splitFlowList(head, flows)) {
        wire::relay::Message message;
        *message.mutable_flow_list() = std::move(part);
        output_.sendToPeer(from, message);
    }
}

FlowPresence RelayAgent::presenceOf(Timestamp now, const FlowTuple &tuple)
{
    const AgentFlow *flow = flows_.find(tuple);
    const bool absent = flow == nullptr ? !mayHoldUntrackedFlows(now) : isTargetGone(now);
    if (absent) {
        ++counters_.searchesAbsent;
        discardEndedFlow(now, tuple);
        return FlowPresence::Absent;
    }
    return flow == nullptr || flow->probed || flow->unconfirmed ? FlowPresence::Uncertain : FlowPresence::Held;
}

void RelayAgent::discardEndedFlow(Timestamp now, const FlowTuple &tuple)
{
    if (flows_.find(tuple) != nullptr) {
        // If the target has only been silent and resumes, it still holds the flow.
        uncertainSince_ = now;
    }
    flows_.discard(now, tuple);
}

void RelayAgent::answerFlow(Timestamp now, const PeerAddress &balancer, const FlowTuple &tuple, FlowPresence presence)
{
    wire::relay::Message message;
    wire::relay::FlowAnswer *answer = message.mutable_flow_answer();
    *answer->mutable_flow() = toRelayFlow(tuple);
    answer->set_presence(static_cast<std::uint32_t>(presence));
    fillLoad(now, *answer->mutable_load());
    output_.sendToPeer(balancer, message);
}

bool RelayAgent::mayHoldUntrackedFlows(Timestamp now) const
{
    return uncertainSince_ && now - *uncertainSince_ < FlowRetention && !isTargetGone(now);
}

} // namespace rhubarblane
