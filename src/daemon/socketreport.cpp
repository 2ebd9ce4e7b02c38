#include "daemon/socketreport.h"

#include <array>

namespace rhubarblane
{

namespace
{

struct DropReason {
    const char *name;
    std::uint64_t SealedTransportCounters::*count;
};

constexpr std::array<DropReason, 5> DropReasons {{
    {"too_short", &SealedTransportCounters::tooShort},
    {"bad_tag", &SealedTransportCounters::badTag},
    {"replayed", &SealedTransportCounters::replayed},
    {"stale_incarnation", &SealedTransportCounters::staleIncarnation},
    {"malformed", &SealedTransportCounters::malformed},
}};

web::json::value toJson(const UdpSocketCounters &counters)
{
    web::json::value json = web::json::value::object();
    json["received"] = web::json::value(counters.received);
    json["sent"] = web::json::value(counters.sent);
    json["sendErrors"] = web::json::value(counters.sendErrors);
    return json;
}

} // namespace

void addSocketMetrics(MetricsText &text, const UdpSocket &fabric, const SealedTransport &peers)
{
    const UdpSocketCounters &packets = fabric.counters();
    const UdpSocketCounters &messages = peers.socket().counters();
    text.counter("datagrams_received_total", "Datagrams received.", packets.received, {{"socket", "fabric"}});
    text.counter("datagrams_received_total", "Datagrams received.", messages.received, {{"socket", "peers"}});
    text.counter("datagrams_sent_total", "Datagrams sent.", packets.sent, {{"socket", "fabric"}});
    text.counter("datagrams_sent_total", "Datagrams sent.", messages.sent, {{"socket", "peers"}});
    const char *errorHelp = "Datagrams that the kernel did not take.";
    text.counter("datagram_send_errors_total", errorHelp, packets.sendErrors, {{"socket", "fabric"}});
    text.counter("datagram_send_errors_total", errorHelp, messages.sendErrors, {{"socket", "peers"}});
    for (const DropReason &reason : DropReasons) {
        text.counter("peer_datagrams_dropped_total",
                     "Datagrams on the peer socket that were not authentic, not new or not readable.",
                     peers.counters().*reason.count,
                     {{"reason", reason.name}});
    }
}

web::json::value socketDump(const UdpSocket &fabric, const SealedTransport &peers)
{
    web::json::value dropped = web::json::value::object();
    for (const DropReason &reason : DropReasons) {
        dropped[reason.name] = web::json::value(peers.counters().*reason.count);
    }
    web::json::value json = web::json::value::object();
    json["fabric"] = toJson(fabric.counters());
    json["peers"] = toJson(peers.socket().counters());
    json["peersDropped"] = dropped;
    return json;
}

web::json::value toJson(const wire::TargetEntry &entry)
{
    web::json::value labels = web::json::value::object();
    for (const wire::Label &label : entry.labels()) {
        labels[label.key()] = web::json::value(label.value());
    }
    web::json::value json = web::json::value::object();
    json["name"] = web::json::value(entry.name());
    json["address"] = web::json::value(formatPeerAddress(fromWire(entry.address())));
    json["incarnation"] = web::json::value(entry.incarnation());
    json["sequence"] = web::json::value(entry.sequence());
    json["state"] = web::json::value(wire::MemberState_Name(entry.state()));
    json["client"] = web::json::value(entry.client());
    json["availabilityZone"] = web::json::value(entry.availability_zone());
    json["labels"] = labels;
    json["slots"] = web::json::value(entry.slots());
    json["capacityMilli"] = web::json::value(entry.capacity_milli());
    return json;
}

} // namespace rhubarblane
