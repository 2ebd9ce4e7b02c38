#ifndef RHUBARBLANE_AGENT_REGISTRATIONS_H
#define RHUBARBLANE_AGENT_REGISTRATIONS_H

#include "agent/agentcontext.h"

#include <deque>
#include <map>

namespace rhubarblane
{

/** Sends facts about flows to their homes in batches, and retransmits each batch until it is acknowledged. */
class Registrations
{
public:
    explicit Registrations(AgentContext &context);

    void add(const MemberKey &home, wire::Registration &&fact);

    /** Discards all facts that are not acknowledged; the caller collects them anew. */
    void clear();

    bool isEmpty() const
    {
        return queues_.empty() && sent_.empty();
    }

    /** Sends queued facts and retransmits batches that are not acknowledged. */
    void tick(Timestamp now);

    struct Batch {
        MemberKey home;
        std::uint64_t digest = 0;
        std::vector<wire::Registration> facts;
        Timestamp retryAt;
        Milliseconds backoff;
    };

    /** Returns the acknowledged batch, or nothing if the batch is not outstanding. */
    std::optional<Batch> handle(const wire::RegisterAck &message);

private:
    void transmit(Timestamp now, std::uint64_t number, Batch &batch);

    AgentContext &context_;
    std::map<MemberKey, std::deque<wire::Registration>> queues_;
    std::map<std::uint64_t, Batch> sent_;
    std::uint64_t nextBatch_ = 1;
};

} // namespace rhubarblane

#endif
