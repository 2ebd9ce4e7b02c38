#include "relay/relaybalancercontext.h"

#include "relay/handon.h"
#include "relay/reportinterval.h"

#include <algorithm>
#include <utility>

namespace rhubarblane
{

namespace
{

// An agent that sends no message for this long has ended or its VM is unreachable; most callers have given up before.
constexpr Milliseconds AgentTimeout(5000);
// Share of a service's latency objective for which an agent may hold the beginning of a request, in percent; the rest
// is for processing and the network. A request that waits longer is answered late, and delays the next ones.
constexpr std::int64_t HoldPercent = 45;

Milliseconds holdTimeOf(const RelayedService &service)
{
    const Milliseconds limit = service.objective > Milliseconds(0) ? service.objective : service.timeout;
    return Milliseconds(limit.count() * HoldPercent / 100);
}

} // namespace

RelayBalancerContext::RelayBalancerContext(RelayBalancerSettings balancerSettings,
                                           Timestamp now,
                                           const PacketFormat &packetFormat,
                                           RelayOutput &relayOutput)
    : settings(std::move(balancerSettings))
    , format(packetFormat)
    , output(relayOutput)
    , freshness(settings.randomSeed)
    , peers(now, settings.self, settings.seeds, freshness, relayOutput)
    , targets(settings.self.availabilityZone)
    , flows(settings.flowLimit)
    , pauses(now)
    , started(now)
{
}

void RelayBalancerContext::forward(const PeerAddress &agent,
                                   GroupId group,
                                   ForwardMode mode,
                                   Milliseconds wait,
                                   std::string_view packet,
                                   const std::vector<PeerAddress> &candidates)
{
    wire::relay::Message message;
    wire::relay::Forward *forward = message.mutable_forward();
    forward->set_group(group.value());
    forward->set_mode(static_cast<std::uint32_t>(mode));
    forward->set_accepted_wait_ms(static_cast<std::uint32_t>(wait.count()));
    if (mode == ForwardMode::Open && table) {
        forward->set_cold_limit(settings.coldRateBounds.limitFor(table->coldFlowRateOf(group)));
    }
    forward->set_packet(packet.data(), packet.size());
    HandOn::setCandidates(*forward, candidates);
    if (table && table->hasSharedGroups) {
        const std::optional<RelayPacket> head = format.decode(packet, PacketOrigin::Caller);
        const RelayedService *service = head ? table->find(head->flow) : nullptr;
        if (service != nullptr && table->isLessUrgent(*service)) {
            forward->set_less_urgent(true);
            forward->set_hold_ms(static_cast<std::uint32_t>(holdTimeOf(*service).count()));
        }
    }
    output.sendToPeer(agent, message);
}

const KnownTarget *RelayBalancerContext::ownerOf(const BalancerFlow &flow) const
{
    const KnownTarget *target = flow.owner.port == 0 ? nullptr : targets.find(flow.owner);
    return target != nullptr && target->group == flow.group ? target : nullptr;
}

void RelayBalancerContext::resetCaller(const RelayPacket &head)
{
    output.sendToCaller(head.flow.callerAddress, format.makeReset(head));
}

bool RelayBalancerContext::isSilent(Timestamp now, const KnownTarget &target) const
{
    const Milliseconds timeout = std::max(AgentTimeout, target.reportInterval * MissedReports);
    return pauses.observedSilence(now, target.lastContact) >= timeout;
}

} // namespace rhubarblane
