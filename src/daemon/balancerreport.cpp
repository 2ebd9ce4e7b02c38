#include "daemon/balancerreport.h"

#include <algorithm>

#include "daemon/socketreport.h"
#include "model/resourcecodec.h"

#include <array>

namespace rhubarblane
{

namespace
{

struct CounterSpec {
    const char *name;
    const char *help;
    std::uint64_t BalancerCounters::*count;
};

constexpr std::array<CounterSpec, 10> Counters {{
    {"packets_total", "IP packets from the fabric.", &BalancerCounters::packets},
    {"packets_to_owner_total", "Packets forwarded to a cached owner.", &BalancerCounters::cacheHits},
    {"packets_to_home_total", "Packets forwarded to the home of their flow.", &BalancerCounters::toHome},
    {"packets_unknown_service_total", "Packets to no service.", &BalancerCounters::unknownService},
    {"packets_no_target_total", "Packets of a service without targets.", &BalancerCounters::noTarget},
    {"packets_held_sent_total", "Those of them that a target got after a wait.", &BalancerCounters::heldSent},
    {"packets_held_dropped_total", "Those of them that were dropped.", &BalancerCounters::heldDropped},
    {"packets_malformed_total", "Packets that cannot be parsed.", &BalancerCounters::malformed},
    {"packets_fragment_total", "IP fragments.", &BalancerCounters::fragments},
    {"packets_unsupported_total", "Packets neither TCP nor UDP over IPv4.", &BalancerCounters::unsupportedProtocol},
}};

template<typename Spec>
web::json::value resourcesToJson(const std::map<std::string, Spec> &resources)
{
    web::json::value json = web::json::value::object();
    for (const auto &[name, spec] : resources) {
        json[name] = toJson(spec);
    }
    return json;
}

} // namespace

void addBalancerMetrics(MetricsText &text, const BalancerCore &core)
{
    for (const CounterSpec &spec : Counters) {
        text.counter(spec.name, spec.help, core.counters().*spec.count);
    }
    text.gauge("cached_flows", "Flows whose owner is cached.", static_cast<double>(core.cachedFlows()));
    text.gauge("configuration_revision",
               "Revision of the configuration in force.",
               static_cast<double>(core.configuration().revision.value()));
    std::array<std::uint64_t, wire::MemberState_ARRAYSIZE> states {};
    for (const auto &[target, known] : core.targets().all()) {
        ++states[static_cast<std::size_t>(known.entry.state())];
    }
    for (int state = 0; state < wire::MemberState_ARRAYSIZE; ++state) {
        text.gauge("targets",
                   "Known targets by state.",
                   static_cast<double>(states[static_cast<std::size_t>(state)]),
                   {{"state", wire::MemberState_Name(state)}});
    }
}

web::json::value targetsDump(const BalancerCore &core)
{
    web::json::value targets = web::json::value::array();
    for (const auto &[target, known] : core.targets().all()) {
        web::json::value entry = toJson(known.entry);
        const ServiceSpec *service = core.configuration().find(known.service);
        entry["service"] = service == nullptr ? web::json::value::null() : web::json::value(service->name);
        entry["announcedHere"] = web::json::value(known.leaseEnd.has_value());
        entry["openFlows"] = web::json::value(known.load.open_flows());
        entry["busySlots"] = web::json::value(known.load.busy_slots());
        entry["expectedWaitMs"] = web::json::value(known.load.expected_wait_ms());
        targets[targets.size()] = entry;
    }
    return targets;
}

web::json::value balancerDump(const BalancerCore &core)
{
    web::json::value counters = web::json::value::object();
    for (const CounterSpec &spec : Counters) {
        counters[spec.name] = web::json::value(core.counters().*spec.count);
    }
    web::json::value configuration = web::json::value::object();
    configuration["revision"] = web::json::value(core.configuration().revision.value());
    configuration["services"] = resourcesToJson(core.configuration().services);
    configuration["rules"] = resourcesToJson(core.configuration().rules);
    configuration["drains"] = resourcesToJson(core.configuration().drains);
    web::json::value json = web::json::value::object();
    json["counters"] = counters;
    json["cachedFlows"] = web::json::value(static_cast<std::uint64_t>(core.cachedFlows()));
    json["targets"] = targetsDump(core);
    json["configuration"] = configuration;
    return json;
}

std::vector<BalancerRevision> revisionsOf(const std::vector<MemberView> &members,
                                          const std::optional<ConfigurationPeer> &newest,
                                          const InForceCount &count,
                                          const BalancerRevision &own)
{
    std::vector<BalancerRevision> result;
    for (const MemberView &member : members) {
        BalancerRevision entry = own;
        entry.name = member.name;
        entry.peer = member.httpAddress;
        // The in-force summaries lag behind; the revision that a peer announces itself is current.
        const bool isNewest = newest && member.name == newest->name;
        const bool lags = std::find(count.lagging.begin(), count.lagging.end(), member.name) != count.lagging.end();
        if (member.name != own.name && newest) {
            entry.revision = newest->revision;
            entry.digest = newest->digest;
        }
        if (member.name != own.name && lags && !isNewest) {
            entry.revision = Revision();
            entry.digest = 0;
        }
        result.push_back(std::move(entry));
    }
    return result;
}

} // namespace rhubarblane
