#include "agent/decisiontable.h"

#include "base/invariant.h"

#include <utility>

namespace rhubarblane
{

namespace
{

constexpr std::size_t MaximumQueuedPerFlow = 8;
constexpr std::size_t MaximumQueued = 8192;

} // namespace

Decision *DecisionTable::find(const FlowTuple &flow)
{
    const auto position = decisions_.find(flow);
    return position == decisions_.end() ? nullptr : position->second.get();
}

Decision &DecisionTable::insert(Timestamp now, const FlowTuple &flow)
{
    const auto [position, inserted] = decisions_.emplace(flow, std::make_unique<Decision>());
    RHUBARBLANE_INVARIANT(inserted, "a flow has one decision");
    Decision &decision = *position->second;
    decision.flow = flow;
    decision.started = now;
    decision.changed = now;
    decision.retryAt = now;
    undecided_.push_back(decision);
    return decision;
}

void DecisionTable::erase(Decision &decision)
{
    queuedPackets_ -= decision.queued.size();
    List &list = listOf(decision.state);
    list.erase(list.iterator_to(decision));
    decisions_.erase(FlowTuple(decision.flow));
}

void DecisionTable::setState(Timestamp now, Decision &decision, Decision::State state)
{
    List &from = listOf(decision.state);
    List &to = listOf(state);
    decision.state = state;
    decision.changed = now;
    to.splice(to.end(), from, from.iterator_to(decision));
}

bool DecisionTable::enqueue(Decision &decision, wire::Forward &&message)
{
    if (decision.queued.size() >= MaximumQueuedPerFlow || queuedPackets_ >= MaximumQueued) {
        return false;
    }
    ++queuedPackets_;
    decision.queued.push_back(std::move(message));
    return true;
}

std::vector<wire::Forward> DecisionTable::takeQueued(Decision &decision)
{
    queuedPackets_ -= decision.queued.size();
    return std::exchange(decision.queued, {});
}

DecisionTable::List &DecisionTable::listOf(Decision::State state)
{
    switch (state) {
    case Decision::State::Placed:
        return placed_;
    case Decision::State::Refused:
    case Decision::State::Lost:
        return finals_;
    default:
        return undecided_;
    }
}

} // namespace rhubarblane
