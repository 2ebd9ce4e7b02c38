#include "node/nodereport.h"

#include "runtime/metricstext.h"

#include <cpprest/json.h>

#include <array>

namespace rhubarblane
{

namespace
{

using web::json::value;

/** Maps a counter to its metric name and help text. */
template<typename Counters>
struct CounterRow {
    const char *name;
    const char *help;
    std::uint64_t Counters::*member;
};

constexpr std::array BalancerRows {
    CounterRow<RelayBalancerCounters> {"packets_total", "Packets of callers", &RelayBalancerCounters::packetsIn},
    CounterRow<RelayBalancerCounters> {
        "packets_malformed_total", "Packets and messages that cannot be read", &RelayBalancerCounters::malformed},
    CounterRow<RelayBalancerCounters> {
        "packets_forwarded_total", "Packets sent to a known owner", &RelayBalancerCounters::forwarded},
    CounterRow<RelayBalancerCounters> {
        "searches_total", "Searches for the owner of a flow", &RelayBalancerCounters::searches},
    CounterRow<RelayBalancerCounters> {
        "flow_queries_total", "Queries to one agent for one flow", &RelayBalancerCounters::flowQueries},
    CounterRow<RelayBalancerCounters> {
        "flow_list_requests_total", "Requests for an agent's list of flows", &RelayBalancerCounters::flowListRequests},
    CounterRow<RelayBalancerCounters> {
        "flow_lists_total", "Complete lists of flows received", &RelayBalancerCounters::flowLists},
    CounterRow<RelayBalancerCounters> {"offers_total", "New flows offered to agents", &RelayBalancerCounters::offers},
    CounterRow<RelayBalancerCounters> {
        "offers_returned_total", "Offers that agents returned", &RelayBalancerCounters::offersReturned},
    CounterRow<RelayBalancerCounters> {
        "offers_unanswered_total", "Offers without an answer in time", &RelayBalancerCounters::offersUnanswered},
    CounterRow<RelayBalancerCounters> {
        "flows_opened_total", "Flows that a target opened", &RelayBalancerCounters::flowsOpened},
    CounterRow<RelayBalancerCounters> {"flows_handed_on_total",
                                       "Opened flows that another agent than that of the offer accepted",
                                       &RelayBalancerCounters::flowsHandedOn},
    CounterRow<RelayBalancerCounters> {"ports_reused_total",
                                       "New flows on an address and port with a recorded flow",
                                       &RelayBalancerCounters::portsReused},
    CounterRow<RelayBalancerCounters> {"refused_unknown_service_total",
                                       "Packets for an address without a service",
                                       &RelayBalancerCounters::refusedUnknownService},
    CounterRow<RelayBalancerCounters> {
        "refused_no_target_total", "New flows reset without a target", &RelayBalancerCounters::refusedNoTarget},
    CounterRow<RelayBalancerCounters> {"refused_evacuated_total",
                                       "New flows reset since all targets are in evacuated zones",
                                       &RelayBalancerCounters::refusedEvacuated},
    CounterRow<RelayBalancerCounters> {
        "refused_overload_total", "New flows reset after all offers", &RelayBalancerCounters::refusedOverload},
    CounterRow<RelayBalancerCounters> {
        "dropped_no_table_total", "Packets before the first table", &RelayBalancerCounters::droppedNoTable},
    CounterRow<RelayBalancerCounters> {"dropped_no_evacuations_total",
                                       "New flows before the evacuations are known",
                                       &RelayBalancerCounters::droppedNoEvacuations},
    CounterRow<RelayBalancerCounters> {
        "dropped_no_target_total", "New flows before the first reports", &RelayBalancerCounters::droppedNoTarget},
    CounterRow<RelayBalancerCounters> {
        "dropped_no_flow_total", "Packets of flows without any agent to ask", &RelayBalancerCounters::droppedNoFlow},
    CounterRow<RelayBalancerCounters> {
        "flows_lost_total", "Flows reset since no target holds them", &RelayBalancerCounters::flowsLost},
    CounterRow<RelayBalancerCounters> {
        "tables_from_peers_total", "Tables fetched from other balancers", &RelayBalancerCounters::tablesFromPeers},
    CounterRow<RelayBalancerCounters> {
        "table_checks_total", "Comparisons of the table with the store", &RelayBalancerCounters::tableChecks},
    CounterRow<RelayBalancerCounters> {"table_checks_failed_total",
                                       "Comparisons without an answer of the store",
                                       &RelayBalancerCounters::tableChecksFailed},
};

constexpr std::array AgentRows {
    CounterRow<RelayAgentCounters> {"packets_to_target_total", "Packets delivered", &RelayAgentCounters::packetsIn},
    CounterRow<RelayAgentCounters> {"packets_to_callers_total", "Packets answered", &RelayAgentCounters::packetsOut},
    CounterRow<RelayAgentCounters> {
        "packets_malformed_total", "Packets and messages that cannot be read", &RelayAgentCounters::malformed},
    CounterRow<RelayAgentCounters> {
        "flows_opened_total", "Flows that the target opened", &RelayAgentCounters::flowsOpened},
    CounterRow<RelayAgentCounters> {
        "handed_on_total", "Opening packets sent to the next candidate", &RelayAgentCounters::handedOn},
    CounterRow<RelayAgentCounters> {
        "returned_busy_total", "Offers returned for their wait", &RelayAgentCounters::returnedBusy},
    CounterRow<RelayAgentCounters> {
        "returned_full_total", "Offers that the target returned", &RelayAgentCounters::returnedFull},
    CounterRow<RelayAgentCounters> {
        "returned_not_ready_total", "Offers while the target takes none", &RelayAgentCounters::returnedNotReady},
    CounterRow<RelayAgentCounters> {
        "returned_not_held_total", "Packets that the target returned", &RelayAgentCounters::returnedNotHeld},
    CounterRow<RelayAgentCounters> {
        "returned_wrong_group_total", "Packets for another group", &RelayAgentCounters::returnedWrongGroup},
    CounterRow<RelayAgentCounters> {
        "returned_evacuated_total", "Offers while the zone is evacuated", &RelayAgentCounters::returnedEvacuated},
    CounterRow<RelayAgentCounters> {
        "returned_cold_total", "Offers above the limit of a cold target", &RelayAgentCounters::returnedCold},
    CounterRow<RelayAgentCounters> {
        "searches_delivered_total", "Searched packets delivered", &RelayAgentCounters::searchesDelivered},
    CounterRow<RelayAgentCounters> {
        "searches_absent_total", "Searches for flows of other targets", &RelayAgentCounters::searchesAbsent},
    CounterRow<RelayAgentCounters> {
        "flow_lists_sent_total", "Lists of flows sent to balancers", &RelayAgentCounters::flowListsSent},
    CounterRow<RelayAgentCounters> {"resets_dropped_total",
                                    "Resets of the target for flows that it does not hold",
                                    &RelayAgentCounters::resetsDropped},
    CounterRow<RelayAgentCounters> {
        "requests_finished_total", "Requests with an answer", &RelayAgentCounters::requestsFinished},
    CounterRow<RelayAgentCounters> {
        "requests_abandoned_total", "Requests that ended without an answer", &RelayAgentCounters::requestsAbandoned},
    CounterRow<RelayAgentCounters> {
        "requests_cut_off_total", "Requests that the target reset", &RelayAgentCounters::requestsCutOff},
    CounterRow<RelayAgentCounters> {"ejections_total",
                                    "Times that the target was ejected for the requests that it reset",
                                    &RelayAgentCounters::ejections},
    CounterRow<RelayAgentCounters> {"flows_unconfirmed_total",
                                    "Flows open at a new start of the target, which may belong to the start before",
                                    &RelayAgentCounters::flowsUnconfirmed},
    CounterRow<RelayAgentCounters> {
        "target_reports_outdated_total", "Late status reports", &RelayAgentCounters::reportsOutdated},
    CounterRow<RelayAgentCounters> {"target_reports_unconfirmed_total",
                                    "Status reports that may be late ones of an earlier start",
                                    &RelayAgentCounters::reportsUnconfirmed},
    CounterRow<RelayAgentCounters> {"requests_held_total",
                                    "Requests of less urgent services that had to wait at the agent",
                                    &RelayAgentCounters::requestsHeld},
    CounterRow<RelayAgentCounters> {
        "held_requests_started_total", "Held requests that began in turn", &RelayAgentCounters::heldStarted},
    CounterRow<RelayAgentCounters> {
        "held_requests_passed_on_total", "Held requests passed on out of turn", &RelayAgentCounters::heldPassedOn},
    CounterRow<RelayAgentCounters> {"held_requests_expired_total",
                                    "Held requests dropped after their maximum time",
                                    &RelayAgentCounters::heldExpired},
    CounterRow<RelayAgentCounters> {"held_requests_overflowed_total",
                                    "Requests dropped beyond the limit of held ones",
                                    &RelayAgentCounters::heldOverflowed},
    CounterRow<RelayAgentCounters> {
        "held_requests_abandoned_total", "Held requests that their caller gave up", &RelayAgentCounters::heldAbandoned},
    CounterRow<RelayAgentCounters> {"urgent_requests_ahead_total",
                                    "Urgent requests that began while less urgent ones were held",
                                    &RelayAgentCounters::urgentStartsAhead},
};

template<typename Rows, typename Counters>
void addCounters(MetricsText &text, const Rows &rows, const Counters &counters)
{
    for (const auto &row : rows) {
        text.counter(row.name, row.help, counters.*(row.member));
    }
}

void addSockets(MetricsText &text, const RelaySockets &sockets)
{
    text.counter("messages_malformed_total", "Messages of peers that cannot be read", sockets.malformedMessages());
    text.counter("datagram_send_errors_total",
                 "Datagrams that the kernel did not take",
                 sockets.packetCounters().sendErrors + sockets.peerCounters().sendErrors);
}

void addEvacuations(MetricsText &text, const Evacuations &evacuations)
{
    text.gauge("evacuated_zones",
               "Availability zones whose targets get no new flows",
               static_cast<double>(evacuations.state().zones.size()));
    text.gauge("evacuations_as_of",
               "Revision of the store as of which the evacuations are known, 0 if they are not",
               static_cast<double>(evacuations.state().asOf.revision.value()));
    text.gauge("evacuations_era",
               "Number of restores of the store before that revision, as the store counts them",
               static_cast<double>(evacuations.state().asOf.era.value()));
}

value number(double n)
{
    return value::number(n);
}

value evacuationsDump(const Evacuations &evacuations, Timestamp now)
{
    value dump = value::object();
    dump["asOf"] = number(static_cast<double>(evacuations.state().asOf.revision.value()));
    dump["era"] = number(static_cast<double>(evacuations.state().asOf.era.value()));
    value zones = value::array();
    for (const auto &[zone, since] : evacuations.since()) {
        value row = value::object();
        row["zone"] = value::string(zone);
        row["knownForMs"] = number(static_cast<double>((now - since).count()));
        zones[zones.size()] = row;
    }
    dump["zones"] = zones;
    return dump;
}

} // namespace

std::string balancerMetrics(const RelayBalancer &core, const RelaySockets &sockets, Timestamp now)
{
    MetricsText text;
    addCounters(text, BalancerRows, core.counters());
    text.gauge("table_version",
               "Version of the service table in force",
               core.table() == nullptr ? 0.0 : static_cast<double>(core.table()->version.value()));
    text.gauge("table_check_age_ms",
               "Time since any balancer compared the table with the store, -1 if none did",
               static_cast<double>(core.tableCheckAge(now).value_or(Milliseconds(-1)).count()));
    text.gauge("flows", "Flows whose owner is remembered", static_cast<double>(core.flows()));
    text.gauge("listed_flows", "Flows that agents have listed", static_cast<double>(core.listedFlows()));
    text.gauge("targets", "Targets that report", static_cast<double>(core.targets().size()));
    addEvacuations(text, core.evacuations());
    text.histogram("flow_open_seconds", "Time from the first packet to the opened flow", core.openTimes());
    addSockets(text, sockets);
    return text.text();
}

std::string agentMetrics(const RelayAgent &core, const RelaySockets &sockets, Timestamp now)
{
    MetricsText text;
    addCounters(text, AgentRows, core.counters());
    text.gauge("requests", "Requests at the target", core.meter().busy());
    text.gauge("held_requests", "Requests that wait at the agent", static_cast<double>(core.gate().size()));
    text.gauge("held_bytes", "Bytes of their packets", static_cast<double>(core.gate().bytes()));
    text.gauge("held_longest_ms",
               "Longest time for which a request was held",
               static_cast<double>(core.counters().heldLongestMs));
    text.gauge("slots", "Requests that the target serves at once", core.meter().slots());
    text.gauge("utilization", "Share of the slots in use", core.meter().utilization(now));
    text.gauge("flows", "Flows with a record", static_cast<double>(core.openFlows()));
    text.gauge("target_ready", "1 while new flows are taken", core.state(now) == TargetState::Ready ? 1.0 : 0.0);
    addEvacuations(text, core.zone().evacuations());
    text.gauge("zone_evacuated", "1 while the own zone is evacuated", core.zone().isEvacuated() ? 1.0 : 0.0);
    const ColdStartLimiter &cold = core.coldStart();
    text.gauge("cold_for_ms",
               "Time for which the target still has a lower capacity after its start",
               static_cast<double>(cold.coldLeft(now).count()));
    text.gauge("cold_limit", "Maximum of new flows per second while cold, 0 if there is none", cold.limit());
    text.gauge("recent_openings", "New flows that count towards the limit while cold", cold.openings(now));
    text.histogram("request_seconds", "Time from a request to its answer", core.requestTimes());
    addSockets(text, sockets);
    return text.text();
}

std::string balancerDump(const RelayBalancer &core, Timestamp now)
{
    value dump = value::object();
    dump["table"] = number(core.table() == nullptr ? 0.0 : static_cast<double>(core.table()->version.value()));
    dump["flows"] = number(static_cast<double>(core.flows()));
    dump["evacuations"] = evacuationsDump(core.evacuations(), now);
    value targets = value::array();
    for (const auto &[address, target] : core.targets().all()) {
        value row = value::object();
        row["agent"] = value::string(target.agent.name);
        row["address"] = value::string(formatPeerAddress(address));
        row["group"] = value::string(target.groupName);
        row["state"] = value::string(nameOf(target.state));
        row["evacuated"] = value::boolean(target.evacuated);
        row["silent"] = value::boolean(target.offerUnanswered);
        row["busy"] = number(target.busy);
        row["slots"] = number(target.slots);
        row["utilization"] = number(target.utilization);
        row["serviceTimeMs"] = number(target.serviceTimeMs);
        targets[targets.size()] = row;
    }
    dump["targets"] = targets;
    return dump.serialize();
}

std::string agentDump(const RelayAgent &core, Timestamp now)
{
    value dump = value::object();
    dump["state"] = value::string(nameOf(core.state(now)));
    dump["busy"] = number(core.meter().busy());
    dump["held"] = number(static_cast<double>(core.gate().size()));
    dump["slots"] = number(core.meter().slots());
    dump["utilization"] = number(core.meter().utilization(now));
    dump["serviceTimeMs"] = number(core.meter().serviceTimeMs());
    dump["flows"] = number(static_cast<double>(core.openFlows()));
    dump["evacuations"] = evacuationsDump(core.zone().evacuations(), now);
    dump["coldLeftMs"] = number(static_cast<double>(core.coldStart().coldLeft(now).count()));
    dump["coldLimit"] = number(core.coldStart().limit());
    dump["recentOpenings"] = number(core.coldStart().openings(now));
    value balancers = value::array();
    for (const PeerDirectory::Entry *entry : core.peers().withRole(PeerRole::Balancer)) {
        balancers[balancers.size()] = value::string(entry->peer.name);
    }
    dump["balancers"] = balancers;
    return dump.serialize();
}

} // namespace rhubarblane
