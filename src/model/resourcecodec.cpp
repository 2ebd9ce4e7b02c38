#include "model/resourcecodec.h"

#include "model/fieldreader.h"
#include "wire/peeraddress.h"

#include <limits>

namespace rhubarblane
{

namespace
{

constexpr std::int64_t MaximumDurationMs = 7LL * 24 * 3600 * 1000;

std::uint32_t readAddress(FieldReader &reader)
{
    const Outcome<std::uint32_t> address = parseIpv4(reader.requiredText("address"));
    if (!isOk(address)) {
        reader.fail("address", errorOf(address).message);
        return 0;
    }
    return valueOf(address);
}

} // namespace

Outcome<ServiceSpec> parseService(const std::string &name, const web::json::value &spec)
{
    FieldReader reader(spec);
    ServiceSpec service;
    service.name = name;
    service.address = readAddress(reader);
    service.port = static_cast<std::uint16_t>(reader.requiredInteger("port", 1, 65535));
    service.protocol = reader.choice("protocol", {"udp", "tcp"}, "udp") == "tcp" ? Protocol::Tcp : Protocol::Udp;
    service.client = reader.text("client", {});
    service.kind =
        reader.choice("kind", {"request", "stream"}, "request") == "stream" ? FlowKind::Stream : FlowKind::Request;
    service.atMostOnce = reader.boolean("atMostOnce", false);
    service.priority = static_cast<std::uint32_t>(reader.integer("priority", 0, 9, 5));
    service.idleTimeout = Milliseconds(reader.integer("idleTimeoutMs", 100, MaximumDurationMs, 60000));
    service.silenceTimeout = Milliseconds(reader.integer("silenceTimeoutMs", 100, MaximumDurationMs, 30000));
    service.maxFlowsPerClient =
        static_cast<std::uint32_t>(reader.integer("maxFlowsPerClient", 0, std::numeric_limits<std::int32_t>::max(), 0));
    if (const std::optional<Error> error = reader.finish()) {
        return *error;
    }
    return service;
}

Outcome<RuleSpec> parseRule(const std::string &name, const web::json::value &spec)
{
    FieldReader reader(spec);
    RuleSpec rule;
    rule.name = name;
    rule.service = reader.requiredText("service");
    FieldReader selector(reader.object("selector"));
    rule.labels = selector.textMap("labels");
    rule.client = selector.text("client", {});
    rule.availabilityZone = selector.text("availabilityZone", {});
    if (const std::optional<Error> error = selector.finish()) {
        reader.fail(error->field.empty() ? "selector" : "selector." + error->field, error->message);
    }
    if (rule.labels.empty() && rule.client.empty() && rule.availabilityZone.empty()) {
        reader.fail("selector", "must have at least one of labels, client, availabilityZone");
    }
    if (const std::optional<Error> error = reader.finish()) {
        return *error;
    }
    return rule;
}

Outcome<DrainSpec> parseDrain(const std::string &target, const web::json::value &spec)
{
    FieldReader reader(spec);
    DrainSpec drain;
    drain.target = target;
    drain.deadline = Milliseconds(reader.integer("deadlineMs", 0, MaximumDurationMs, 600000));
    if (const std::optional<Error> error = reader.finish()) {
        return *error;
    }
    return drain;
}

web::json::value toJson(const ServiceSpec &service)
{
    web::json::value json = web::json::value::object();
    json["address"] = web::json::value(formatIpv4(service.address));
    json["port"] = web::json::value(service.port);
    json["protocol"] = web::json::value(service.protocol == Protocol::Tcp ? "tcp" : "udp");
    json["client"] = web::json::value(service.client);
    json["kind"] = web::json::value(service.kind == FlowKind::Stream ? "stream" : "request");
    json["atMostOnce"] = web::json::value(service.atMostOnce);
    json["priority"] = web::json::value(service.priority);
    json["idleTimeoutMs"] = web::json::value(service.idleTimeout.count());
    json["silenceTimeoutMs"] = web::json::value(service.silenceTimeout.count());
    json["maxFlowsPerClient"] = web::json::value(service.maxFlowsPerClient);
    return json;
}

web::json::value toJson(const RuleSpec &rule)
{
    web::json::value selector = web::json::value::object();
    if (!rule.labels.empty()) {
        web::json::value labels = web::json::value::object();
        for (const auto &[key, value] : rule.labels) {
            labels[key] = web::json::value(value);
        }
        selector["labels"] = labels;
    }
    if (!rule.client.empty()) {
        selector["client"] = web::json::value(rule.client);
    }
    if (!rule.availabilityZone.empty()) {
        selector["availabilityZone"] = web::json::value(rule.availabilityZone);
    }
    web::json::value json = web::json::value::object();
    json["service"] = web::json::value(rule.service);
    json["selector"] = selector;
    return json;
}

web::json::value toJson(const DrainSpec &drain)
{
    web::json::value json = web::json::value::object();
    json["deadlineMs"] = web::json::value(drain.deadline.count());
    return json;
}

} // namespace rhubarblane
