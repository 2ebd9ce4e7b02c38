#include "agent/registrations.h"

#include <algorithm>
#include <utility>

namespace rhubarblane
{

namespace
{

// About 1 KB, so that a batch fits into one datagram.
constexpr std::size_t BatchSize = 16;
constexpr std::size_t MaximumOpenBatches = 32;
constexpr Milliseconds InitialBackoff(100);
constexpr Milliseconds MaximumBackoff(2000);

} // namespace

Registrations::Registrations(AgentContext &context)
    : context_(context)
{
}

void Registrations::add(const MemberKey &home, wire::Registration &&fact)
{
    queues_[home].push_back(std::move(fact));
}

void Registrations::clear()
{
    queues_.clear();
    sent_.clear();
}

void Registrations::tick(Timestamp now)
{
    for (auto position = sent_.begin(); position != sent_.end();) {
        Batch &batch = position->second;
        if (!context_.group.isLive(batch.home.target, batch.home.incarnation)) {
            position = sent_.erase(position);
            continue;
        }
        if (now >= batch.retryAt) {
            ++context_.counters.retries;
            transmit(now, position->first, batch);
        }
        ++position;
    }
    for (auto queue = queues_.begin(); queue != queues_.end() && sent_.size() < MaximumOpenBatches;) {
        std::deque<wire::Registration> &facts = queue->second;
        if (!context_.group.isLive(queue->first.target, queue->first.incarnation)) {
            facts.clear();
        }
        while (!facts.empty() && sent_.size() < MaximumOpenBatches) {
            Batch batch;
            batch.home = queue->first;
            batch.digest = context_.group.roster().digest();
            batch.backoff = InitialBackoff;
            const auto end = facts.begin() + static_cast<std::ptrdiff_t>(std::min(BatchSize, facts.size()));
            std::move(facts.begin(), end, std::back_inserter(batch.facts));
            facts.erase(facts.begin(), end);
            const std::uint64_t number = nextBatch_++;
            transmit(now, number, sent_.emplace(number, std::move(batch)).first->second);
        }
        queue = facts.empty() ? queues_.erase(queue) : std::next(queue);
    }
}

std::optional<Registrations::Batch> Registrations::handle(const wire::RegisterAck &message)
{
    const auto position = sent_.find(message.batch());
    if (position == sent_.end() || position->second.home.target.value() != message.target()
        || position->second.digest != message.roster_digest()) {
        return std::nullopt;
    }
    Batch batch = std::move(position->second);
    sent_.erase(position);
    context_.counters.registered += batch.facts.size();
    return batch;
}

void Registrations::transmit(Timestamp now, std::uint64_t number, Batch &batch)
{
    wire::Envelope envelope;
    wire::Register *message = envelope.mutable_register_();
    message->set_service(context_.group.self().service());
    message->set_target(context_.id().value());
    message->set_incarnation(context_.group.self().incarnation());
    message->set_roster_digest(batch.digest);
    message->set_batch(number);
    for (const wire::Registration &fact : batch.facts) {
        *message->add_flows() = fact;
    }
    context_.sendTo(batch.home.target, std::move(envelope));
    batch.retryAt = now + context_.withJitter(batch.backoff);
    batch.backoff = std::min(batch.backoff * 2, MaximumBackoff);
}

} // namespace rhubarblane
