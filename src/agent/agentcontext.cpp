#include "agent/agentcontext.h"

#include <utility>

namespace rhubarblane
{

namespace
{

constexpr std::uint32_t MaximumHops = 4;

wire::TargetEntry entryOf(const AgentSettings &settings)
{
    wire::TargetEntry entry;
    entry.set_target(targetIdOf(settings.name).value());
    entry.set_incarnation(settings.incarnation.value());
    entry.set_sequence(1);
    entry.set_name(settings.name);
    *entry.mutable_address() = toWire(settings.address);
    entry.set_client(settings.client);
    entry.set_availability_zone(settings.availabilityZone);
    for (const auto &[key, value] : settings.labels) {
        wire::Label *label = entry.add_labels();
        label->set_key(key);
        label->set_value(value);
    }
    entry.set_state(wire::JOINING);
    entry.set_slots(settings.slots);
    entry.set_capacity_milli(settings.capacityMilli);
    return entry;
}

} // namespace

AgentContext::AgentContext(AgentSettings agentSettings)
    : settings(std::move(agentSettings))
    , group(entryOf(settings))
    , placement(settings)
    , random(settings.seed)
{
}

std::optional<MemberKey> AgentContext::memberKey(TargetId target) const
{
    const wire::TargetEntry *entry = group.roster().find(target);
    if (entry == nullptr || entry->state() == wire::GONE) {
        return std::nullopt;
    }
    return MemberKey {target, entry->incarnation()};
}

void AgentContext::send(const PeerAddress &to, wire::Envelope &&message)
{
    actions.emplace_back(SendMessage {to, std::move(message)});
}

bool AgentContext::sendTo(TargetId target, wire::Envelope &&message)
{
    if (target == id()) {
        selfMessages.push_back(std::move(message));
        return true;
    }
    const wire::TargetEntry *entry = group.roster().find(target);
    if (entry == nullptr || entry->state() == wire::GONE) {
        return false;
    }
    send(fromWire(entry->address()), std::move(message));
    return true;
}

void AgentContext::forwardTo(wire::Forward &&message, TargetId to, bool toOwner)
{
    if (message.hops() >= MaximumHops) {
        ++counters.hopLimit;
        return;
    }
    const std::optional<MemberKey> member = memberKey(to);
    if (!member) {
        ++counters.noFlow;
        return;
    }
    ++counters.forwarded;
    message.set_hops(message.hops() + 1);
    message.set_to_owner(toOwner);
    message.set_target_incarnation(member->incarnation);
    wire::Envelope envelope;
    *envelope.mutable_forward() = std::move(message);
    sendTo(to, std::move(envelope));
}

void AgentContext::refuse(const std::string &packet, Refusal refusal)
{
    const auto parsed = parsePacket(packet);
    if (const PacketInfo *info = std::get_if<PacketInfo>(&parsed)) {
        // RFC 9293, 3.10.7.1: a reset is never answered with a reset.
        if (info->reset) {
            return;
        }
        counters.refused += refusal == Refusal::NotRun ? 1 : 0;
        counters.unknown += refusal == Refusal::Unknown ? 1 : 0;
        actions.emplace_back(SendToCaller {buildRefusal(packet, *info, refusal)});
    }
}

void AgentContext::notifyOwner(const wire::Forward &message, const MemberKey &owner)
{
    const wire::TargetEntry *entry = group.roster().find(owner.target);
    if (entry == nullptr || !message.has_balancer()) {
        return;
    }
    wire::Envelope envelope;
    wire::FlowOwner *notice = envelope.mutable_flow_owner();
    *notice->mutable_flow() = message.flow();
    notice->set_owner(owner.target.value());
    notice->set_owner_incarnation(owner.incarnation);
    *notice->mutable_owner_address() = entry->address();
    send(fromWire(message.balancer()), std::move(envelope));
}

void AgentContext::clearOwner(const wire::Forward &message)
{
    if (!message.has_balancer()) {
        return;
    }
    wire::Envelope envelope;
    wire::FlowOwner *notice = envelope.mutable_flow_owner();
    *notice->mutable_flow() = message.flow();
    notice->set_owner(id().value());
    notice->set_owner_incarnation(group.self().incarnation());
    notice->set_gone(true);
    send(fromWire(message.balancer()), std::move(envelope));
}

Milliseconds AgentContext::withJitter(Milliseconds time)
{
    return time + Milliseconds(static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(time.count() / 4 + 1)));
}

} // namespace rhubarblane
