#include "daemon/agentreport.h"

#include "daemon/socketreport.h"

#include <array>

namespace rhubarblane
{

namespace
{

struct CounterSpec {
    const char *name;
    const char *help;
    std::uint64_t AgentCounters::*count;
};

constexpr std::array<CounterSpec, 12> Counters {{
    {"packets_delivered_total", "Packets handed to the target.", &AgentCounters::delivered},
    {"flows_accepted_total", "Flows that this target accepted.", &AgentCounters::accepted},
    {"flows_handed_on_total", "New flows passed on to the next candidate.", &AgentCounters::forwardedPlacements},
    {"packets_refused_total", "Packets answered with a refusal.", &AgentCounters::refused},
    {"packets_forwarded_total", "Packets sent on to another agent.", &AgentCounters::forwarded},
    {"packets_wrong_service_total", "Packets for a service that is not here.", &AgentCounters::wrongService},
    {"packets_stale_incarnation_total", "Packets for an earlier start.", &AgentCounters::staleIncarnation},
    {"packets_hop_limit_total", "Packets that made too many hops.", &AgentCounters::hopLimit},
    {"packets_no_flow_total", "Packets of no known flow.", &AgentCounters::noFlow},
    {"messages_malformed_total", "Messages that no agent expects.", &AgentCounters::malformed},
    {"answers_late_total", "Answers of a flow that has ended.", &AgentCounters::lateFromTarget},
    {"copies_dropped_total",
     "Copies of packets whose flow is undecided or refused.",
     &AgentCounters::droppedDuplicates},
}};

struct TargetCounterSpec {
    const char *name;
    const char *help;
    std::uint64_t TargetLinkCounters::*count;
};

constexpr std::array<TargetCounterSpec, 4> TargetCounters {{
    {"target_datagrams_sent_total", "Datagrams to the local target.", &TargetLinkCounters::toTarget},
    {"target_datagrams_received_total", "Datagrams from the local target.", &TargetLinkCounters::fromTarget},
    {"target_datagrams_dropped_total", "Datagrams that found no way to the target.", &TargetLinkCounters::dropped},
    {"target_refusals_total", "Flows that the target's port refused.", &TargetLinkCounters::refused},
}};

web::json::value flowsToJson(const FlowTable &flows)
{
    web::json::value json = web::json::value::array();
    flows.forEach([&json](const FlowRecord &record) {
        web::json::value flow = web::json::value::object();
        flow["flow"] = web::json::value(formatFlowTuple(record.flow));
        flow["number"] = web::json::value(record.number.value());
        flow["openedMs"] = web::json::value(record.opened.milliseconds());
        flow["lastFromCallerMs"] = web::json::value(record.lastFromCaller.milliseconds());
        flow["lastFromTargetMs"] = web::json::value(record.lastFromTarget.milliseconds());
        json[json.size()] = flow;
    });
    return json;
}

} // namespace

void addAgentMetrics(MetricsText &text, const AgentCore &core, const TargetLink &target)
{
    for (const CounterSpec &spec : Counters) {
        text.counter(spec.name, spec.help, core.counters().*spec.count);
    }
    for (const TargetCounterSpec &spec : TargetCounters) {
        text.counter(spec.name, spec.help, target.counters().*spec.count);
    }
    text.gauge("open_flows", "Flows that this target serves.", static_cast<double>(core.flows().size()));
    text.gauge("group_members", "Known members of the group.", static_cast<double>(core.roster().entries().size()));
    text.gauge("draining", "1 while the target drains.", core.isDraining() ? 1 : 0);
}

web::json::value agentDump(const AgentCore &core, const TargetLink &target)
{
    web::json::value counters = web::json::value::object();
    for (const CounterSpec &spec : Counters) {
        counters[spec.name] = web::json::value(core.counters().*spec.count);
    }
    for (const TargetCounterSpec &spec : TargetCounters) {
        counters[spec.name] = web::json::value(target.counters().*spec.count);
    }
    web::json::value roster = web::json::value::array();
    for (const wire::TargetEntry &entry : core.roster().entries()) {
        roster[roster.size()] = toJson(entry);
    }
    web::json::value json = web::json::value::object();
    json["self"] = toJson(core.self());
    json["service"] = core.service() ? web::json::value(core.service()->name()) : web::json::value::null();
    json["counters"] = counters;
    json["roster"] = roster;
    json["flows"] = flowsToJson(core.flows());
    return json;
}

} // namespace rhubarblane
