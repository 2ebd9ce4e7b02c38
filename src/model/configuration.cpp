#include "model/configuration.h"

namespace rhubarblane
{

namespace
{

bool hasLabel(const wire::TargetEntry &target, const std::string &key, const std::string &value)
{
    for (const wire::Label &label : target.labels()) {
        if (label.key() == key) {
            return label.value() == value;
        }
    }
    return false;
}

bool matches(const RuleSpec &rule, const wire::TargetEntry &target)
{
    if (!rule.client.empty() && rule.client != target.client()) {
        return false;
    }
    if (!rule.availabilityZone.empty() && rule.availabilityZone != target.availability_zone()) {
        return false;
    }
    for (const auto &[key, value] : rule.labels) {
        if (!hasLabel(target, key, value)) {
            return false;
        }
    }
    return true;
}

} // namespace

const ServiceSpec *Configuration::find(ServiceId service) const
{
    for (const auto &[name, spec] : services) {
        if (serviceIdOf(name) == service) {
            return &spec;
        }
    }
    return nullptr;
}

ServiceId Configuration::serviceOf(const wire::TargetEntry &target) const
{
    for (const auto &[name, rule] : rules) {
        if (matches(rule, target) && services.count(rule.service) != 0) {
            return serviceIdOf(rule.service);
        }
    }
    return ServiceId();
}

wire::ServiceSettings toWire(const ServiceSpec &service)
{
    wire::ServiceSettings message;
    message.set_service(serviceIdOf(service.name).value());
    message.set_name(service.name);
    message.set_address(service.address);
    message.set_port(service.port);
    message.set_protocol(static_cast<std::uint32_t>(service.protocol));
    message.set_request_kind(service.kind == FlowKind::Request);
    message.set_at_most_once(service.atMostOnce);
    message.set_priority(service.priority);
    message.set_idle_timeout_ms(static_cast<std::uint64_t>(service.idleTimeout.count()));
    message.set_silence_timeout_ms(static_cast<std::uint64_t>(service.silenceTimeout.count()));
    message.set_max_flows_per_client(service.maxFlowsPerClient);
    return message;
}

} // namespace rhubarblane
